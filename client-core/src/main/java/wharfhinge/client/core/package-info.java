/**
 * The decision logic of a client: takes events with their times and responds with actions. It has no clock, I/O, threads or
 * source of randomness of its own.
 */
package wharfhinge.client.core;

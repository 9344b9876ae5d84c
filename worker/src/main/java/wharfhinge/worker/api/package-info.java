/** What the author of a function sees, and all of the worker that a function's classes can reach. */
package wharfhinge.worker.api;

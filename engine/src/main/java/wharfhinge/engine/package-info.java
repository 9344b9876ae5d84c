/**
 * Runs one {@link wharfhinge.policy.Dispatcher} on a single thread. Contains the event loop with its submission queue and timers, the
 * tables of pending calls and chains, and the interfaces of the transports to clients, workers, peers and the endpoint source. The
 * package makes no dispatch decisions and opens no sockets.
 */
package wharfhinge.engine;

/**
 * One thread that owns one {@link wharfhinge.policy.Dispatcher}: the submission queue, timers, pending calls and chains, and the
 * interfaces that sockets implement towards clients, workers, peers and the source of endpoints. It decides nothing and opens no socket.
 */
package wharfhinge.engine;

/**
 * The gateway: sockets, timers and one engine. A call passes through {@code front}, {@code wharfhinge.engine} and {@code upstream} to a
 * worker; its answer returns the same way. {@link wharfhinge.policy.CacheAwareDispatcher} makes all decisions, on the engine's thread,
 * which never blocks. I/O threads make none.
 */
package wharfhinge.gateway;

/**
 * The gateway: sockets, timers and one engine. A call goes {@code front}, {@code wharfhinge.engine}, {@code upstream},
 * worker, and back the same way; I/O threads never decide and the engine's thread never blocks. All decisions are the
 * policy's {@link wharfhinge.policy.CacheAwareDispatcher}.
 */
package wharfhinge.gateway;

/**
 * The gateway: sockets, timers and one decision loop. The way of a call is {@code front}, {@code loop}, {@code upstream},
 * worker, and back the same way; I/O threads never decide and the loop never blocks. What is decided, the policy's
 * {@link wharfhinge.policy.CacheAwareDispatcher} decides; nothing here does.
 */
package wharfhinge.gateway;

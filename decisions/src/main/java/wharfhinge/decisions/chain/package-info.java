/**
 * Scheduling of chains: calls that depend on each other's answers under one deadline. Decides which step starts when and with how
 * much time, which chain is rejected early, which step is cancelled and which function is prefetched.
 * {@link wharfhinge.decisions.chain.ChainScheduler} is the entry point. Events are passed in with their times, and decisions are
 * passed to an action interface; there is no I/O, clock or thread. Where a step runs, whether it is retried and what is
 * loaded is decided by the policy ({@code wharfhinge.policy}).
 */
package wharfhinge.decisions.chain;

/**
 * Scheduling of chains: calls that depend on each other's answers under one deadline. Decides which step starts when and with how
 * much time, which chain is rejected early, which step is cancelled and which function is loaded ahead.
 * {@link wharfhinge.decisions.chain.ChainDecisions} is the entry. Pure: events and their times come in, actions go out; no I/O, clock
 * or thread. Where a step runs, whether it is retried and what is loaded stay with the policy ({@code wharfhinge.policy}).
 */
package wharfhinge.decisions.chain;

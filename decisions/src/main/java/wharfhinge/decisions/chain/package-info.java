/**
 * Chains of calls under one deadline: what to start when, with how much time, what to refuse, what to cancel, and what to
 * have loaded ahead. Pure: told events and time, answers with actions; no I/O, no clock, one thread. Where a step runs,
 * whether it is tried again and what is loaded stay with the policy.
 */
package wharfhinge.decisions.chain;

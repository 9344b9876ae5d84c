/**
 * Scheduling of calls and loads within one worker: which load starts, which idle copy is evicted, which call runs on which copy.
 * {@link wharfhinge.decisions.copies.CopyScheduler} is the entry point. Events are passed in with their times, and decisions are
 * passed to an action interface; there is no I/O, clock or thread. {@code docs/design/worker.md} explains the design.
 */
package wharfhinge.decisions.copies;

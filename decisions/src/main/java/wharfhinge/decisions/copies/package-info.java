/**
 * Scheduling of calls and loads within one worker: which load starts, which idle copy is evicted, which call runs on which copy.
 * {@link wharfhinge.decisions.copies.CopyScheduler} is the entry. Pure: events and their times come in, actions go out; no I/O,
 * clock or thread. {@code docs/design/worker.md} gives the reasons.
 */
package wharfhinge.decisions.copies;

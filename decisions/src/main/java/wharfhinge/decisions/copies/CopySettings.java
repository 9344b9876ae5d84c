package wharfhinge.decisions.copies;

/**
 * Settings of a {@link CopyScheduler}. Memory in KiB, times in nanoseconds.
 *
 * @param totalKb     memory for copies
 * @param defaultCopyKb     what a copy is assumed to need where neither its package nor a caller says it
 * @param maxQueuedCalls       calls that may wait, of all functions; guards against unbounded memory and hopeless waits
 * @param maxConcurrentLoads loads under way at most; guards the store that packages come from
 * @param maxQueuedLoads    loads that may wait for their turn or for memory
 * @param idleRetentionNanos   how long an idle copy is kept; it goes earlier where memory is needed
 * @param loadsOnCall whether a call for a function that is not loaded starts its load; otherwise it is a miss
 * @param addsCopiesOnCall  whether a call that finds no free lane starts the load of a further copy; otherwise only orders do
 */
public record CopySettings(
        long totalKb,
        long defaultCopyKb,
        int maxQueuedCalls,
        int maxConcurrentLoads,
        int maxQueuedLoads,
        long idleRetentionNanos,
        boolean loadsOnCall,
        boolean addsCopiesOnCall) {}

package wharfhinge.decisions.copies;

/**
 * Settings of a {@link CopyScheduler}. Memory in KiB, times in nanoseconds.
 *
 * @param totalKb            total memory for copies
 * @param defaultCopyKb      memory assumed for a copy if neither its package nor a caller states what it needs
 * @param maxQueuedCalls     maximum number of waiting calls of all functions; bounds memory and hopeless waits
 * @param maxConcurrentLoads maximum number of loads in progress; protects the package store
 * @param maxQueuedLoads     maximum number of loads that wait for their turn or for memory
 * @param idleRetentionNanos how long an idle copy is kept; it is evicted earlier if its memory is needed
 * @param loadsOnCall        whether a call for a function that is not loaded starts its load; otherwise it is a miss
 * @param addsCopiesOnCall   whether a call that finds no free lane starts the load of a further copy if none is pending; otherwise only
 *                           orders do; no effect without {@code loadsOnCall}
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

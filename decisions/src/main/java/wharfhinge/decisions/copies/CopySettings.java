package wharfhinge.decisions.copies;

/**
 * What a worker's copies are decided by. Memory in KiB, times in nanoseconds.
 *
 * @param totalKb       memory for copies
 * @param usualKb       what a copy is taken to need where nobody told
 * @param queue         calls that may wait, of all functions
 * @param loadsAtOnce   loads under way at most
 * @param loadLine      loads that may wait for their turn or for memory
 * @param keepNanos        how long an idle copy stays at least and, unless memory is wanted, at most
 * @param loadsOnCall   whether a call for a function that is not loaded begins its load; else it is a miss
 * @param ownFurther    whether a call that finds all lanes taken begins a further copy; else only orders do
 */
public record CopySettings(
        long totalKb,
        long usualKb,
        int queue,
        int loadsAtOnce,
        int loadLine,
        long keepNanos,
        boolean loadsOnCall,
        boolean ownFurther) {}

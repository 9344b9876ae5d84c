package wharfhinge.decisions.copies;

/**
 * Memory that one copy of a function needs, and the number of its lanes.
 *
 * @param memoryKb memory in KiB; 0 if unknown
 * @param lanes    number of calls that one copy runs concurrently; 0 if unknown
 */
public record MemoryEstimate(long memoryKb, int lanes) {
    /** Nothing is known. */
    public static final MemoryEstimate UNKNOWN = new MemoryEstimate(0, 0);
}

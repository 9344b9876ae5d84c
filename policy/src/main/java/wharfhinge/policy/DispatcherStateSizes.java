package wharfhinge.policy;

/**
 * How much state a dispatcher holds, for metrics.
 *
 * @param requests        requests without their final response or with an attempt in flight
 * @param functions       functions with request statistics
 * @param cachedFunctions functions believed to be loaded or loading, counted for each worker
 * @param queries         queries of loaded copies in flight
 */
public record DispatcherStateSizes(int requests, int functions, int cachedFunctions, int queries) {
    /** The sizes of a dispatcher that holds nothing. */
    public static final DispatcherStateSizes EMPTY = new DispatcherStateSizes(0, 0, 0, 0);
}

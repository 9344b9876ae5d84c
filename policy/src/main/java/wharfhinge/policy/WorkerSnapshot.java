package wharfhinge.policy;

/**
 * A dispatcher's view of one worker for one function, used to explain its decisions.
 *
 * @param loaded       whether the function is believed to be loaded
 * @param loading      whether a load of the function was ordered and has not completed
 * @param belowLimit   whether the worker is below its limits, that is not saturated
 * @param inFlight     requests of this dispatcher in flight on the worker
 * @param reportedLoad estimated requests in flight of all dispatchers per unit of capacity, from load reports
 */
public record WorkerSnapshot(
        String worker,
        boolean up,
        boolean ejected,
        boolean warmingUp,
        boolean loaded,
        boolean loading,
        boolean belowLimit,
        int inFlight,
        double concurrencyLimit,
        double reportedLoad,
        double failureRate) {}

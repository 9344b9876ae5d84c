package wharfhinge.policy;

/**
 * What a dispatcher believes of one worker for one function, for accounts of its decisions.
 *
 * @param loaded   a copy is believed to stand; {@code loading}: one was ordered
 * @param belowLimit it is not saturated
 * @param reportedLoad       told by it of all dispatchers' requests, faded
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

package wharfhinge.policy;

/**
 * What a dispatcher believes of one worker for one function, to explain its decisions.
 *
 * @param loaded   the function is believed to be loaded; {@code loading}: its load was ordered
 * @param belowLimit it is not saturated
 * @param reportedLoad       reported requests in flight of all dispatchers for each unit of capacity, faded with age
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

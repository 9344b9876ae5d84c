package wharfhinge.policy;

/** Cost of each unit of use, in points of the objective. */
public record Prices(
        double crossZone, double wastedLoad, double origin, double probe, double peer, double lateFailure) {}

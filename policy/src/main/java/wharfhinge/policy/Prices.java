package wharfhinge.policy;

/** Points taken off for each unit of use. */
public record Prices(
        double crossZone, double wastedLoad, double origin, double probe, double peer, double lateFailure) {}

package wharfhinge.policy;

/** Cost of one unit of each kind of use, in points of the objective. No decision of this module reads them. */
public record Prices(
        double crossZone, double wastedLoad, double origin, double probe, double peer, double lateFailure) {}

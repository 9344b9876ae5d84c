package wharfhinge.policy;

/**
 * A worker in an endpoint list.
 *
 * @param cell      number of the group of workers that discard repeats among them; see {@link DeduplicationScope#CELL}
 * @param weight    capacity relative to other workers, as exact as {@link WeightReporting} says; 0 if not listed
 * @param startedAt when it started, in nanoseconds of the dispatcher's clock; 0 if it started long ago
 */
public record Endpoint(
        String id, String zone, String kind, int cell, Availability availability, double weight, long startedAt) {}

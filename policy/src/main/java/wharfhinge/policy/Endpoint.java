package wharfhinge.policy;

/** A worker in an endpoint list; {@code startedAt} is 0 if it started long ago. */
public record Endpoint(
        String id, String zone, String kind, int cell, Availability availability, double weight, long startedAt) {}

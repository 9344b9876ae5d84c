package wharfhinge.policy;

/** A tenant with its share of the service. */
public record Tenant(String name, double share, double quotaPerSecond) {}

package wharfhinge.policy;

/** What the result weighs. */
public record ObjectiveWeights(double overall, double worstWindow, double worstClass, double worstTenant) {}

package wharfhinge.policy;

/** Weights of the parts of the objective. */
public record ObjectiveWeights(double overall, double worstWindow, double worstClass, double worstTenant) {}

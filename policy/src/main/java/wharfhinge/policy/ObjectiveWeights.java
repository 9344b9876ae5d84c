package wharfhinge.policy;

/**
 * Weights of the parts of the objective that decisions are rated by: the rating of all requests, and those of the worst
 * time window, class and tenant. No decision of this module reads them.
 */
public record ObjectiveWeights(double overall, double worstWindow, double worstClass, double worstTenant) {}

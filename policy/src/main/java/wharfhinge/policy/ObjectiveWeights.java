package wharfhinge.policy;

/** Weights of the parts of the objective that decisions are rated by. */
public record ObjectiveWeights(double overall, double worstWindow, double worstClass, double worstTenant) {}

package wharfhinge.policy;

/** How clients behave. */
public record ClientBehavior(boolean marksRetries) {}

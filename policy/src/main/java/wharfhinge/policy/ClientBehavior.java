package wharfhinge.policy;

/**
 * What is known about the behavior of clients.
 *
 * @param marksRetries whether clients mark requests that are retries
 */
public record ClientBehavior(boolean marksRetries) {}

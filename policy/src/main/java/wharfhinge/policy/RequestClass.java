package wharfhinge.policy;

/**
 * A class of requests, with the properties that its requests have in common.
 *
 * @param deduplicationScope       the workers that together discard repeats, where the effect is deduplicated
 * @param deduplicationWindowNanos how long workers recognize a repeat
 * @param latencyObjectiveNanos    time within which a response is to arrive
 * @param maxDeadlineNanos         the longest deadline of a request, and the deadline where the client gives none
 */
public record RequestClass(
        String name,
        Effect effect,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowNanos,
        long latencyObjectiveNanos,
        long maxDeadlineNanos,
        double priorityWeight,
        double latePriorityWeight,
        boolean streaming,
        double latencyObjectiveStretch) {}

package wharfhinge.policy;

/** A class of requests, with the properties that its requests have in common. */
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

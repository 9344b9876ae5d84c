package wharfhinge.policy;

/** A class of requests. */
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

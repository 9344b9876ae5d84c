package wharfhinge.policy;

/** Parameters of the rules that protect workers: endpoint polling, slow start, overload, draining, time for answers. */
public record ProtectionRules(
        long pollWithinNanos,
        double slowStartFrom,
        long slowStartNanos,
        double overloadFactor,
        long overloadWindowNanos,
        long drainWithinNanos,
        long answerGraceNanos) {}

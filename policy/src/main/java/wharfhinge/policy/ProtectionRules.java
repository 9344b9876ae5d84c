package wharfhinge.policy;

/** Figures of the rules that protect workers: endpoint polling, slow start, overload, draining, answers. */
public record ProtectionRules(
        long pollWithinNanos,
        double slowStartFrom,
        long slowStartNanos,
        double overloadFactor,
        long overloadWindowNanos,
        long drainWithinNanos,
        long answerGraceNanos) {}

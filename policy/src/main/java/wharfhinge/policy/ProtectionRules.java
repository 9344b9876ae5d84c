package wharfhinge.policy;

/** Figures of the rules. */
public record ProtectionRules(
        long pollWithinNanos,
        double slowStartFrom,
        long slowStartNanos,
        double overloadFactor,
        long overloadWindowNanos,
        long drainWithinNanos,
        long answerGraceNanos) {}

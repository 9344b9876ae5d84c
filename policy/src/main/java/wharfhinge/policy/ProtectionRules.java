package wharfhinge.policy;

/**
 * Parameters of the rules that protect workers: endpoint polling, slow start, overload, draining, time for answers. No
 * decision of this module reads {@code pollWithinNanos} and {@code answerGraceNanos}.
 *
 * @param slowStartFrom       share of its full traffic that a worker may have when it has just started
 * @param slowStartNanos      time after its start in which that share grows to 1
 * @param overloadFactor      multiple of its current share of the traffic that a worker in slow start may get
 * @param overloadWindowNanos window over which that traffic is measured
 * @param drainWithinNanos    drain grace period: time after a worker begins to drain from which it must get no new work
 */
public record ProtectionRules(
        long pollWithinNanos,
        double slowStartFrom,
        long slowStartNanos,
        double overloadFactor,
        long overloadWindowNanos,
        long drainWithinNanos,
        long answerGraceNanos) {}

package wharfhinge.decisions.chain;

/**
 * Settings of a {@link ChainScheduler}.
 *
 * @param clock               how the time budget of a step is derived
 * @param earlyRejection      whether a chain that is unlikely to meet its deadline is rejected before work is spent on it
 * @param rejectionsPerSample one in this many early rejections is let through, to learn how often they are wrong; 0 for none
 * @param prefetch            whether functions of later steps are requested while earlier ones run
 * @param maxChains           maximum number of open chains
 * @param maxSteps            maximum number of running steps of all chains
 * @param tenantShare         share of {@code maxSteps}, 0 to 1, that the chains of one tenant may use
 * @param maxHeldBytes        maximum number of bytes of answers held between steps, of all chains
 * @param reserveNanos        time reserved before a deadline for the answer to reach the client
 */
public record ChainSettings(
        Clock clock,
        boolean earlyRejection,
        int rejectionsPerSample,
        boolean prefetch,
        int maxChains,
        int maxSteps,
        double tenantShare,
        long maxHeldBytes,
        long reserveNanos) {
    /** How the time budget of a step is derived. */
    public enum Clock {
        /** From the chain's deadline, which all its steps share. */
        SHARED_DEADLINE,
        /** From a separate deadline of the same length for each step; only for experiments and as a faulty variant in tests. */
        DEADLINE_PER_STEP
    }
}

package wharfhinge.decisions.chain;

/**
 * Settings of a {@link ChainScheduler}.
 *
 * @param clock        what a step's time is cut from
 * @param earlyRejection whether a chain that can't be in time is rejected before work is spent on it
 * @param rejectionsPerSample   one in so many early rejections is let through, to learn how often they are wrong; 0 for none
 * @param prefetch    whether functions of later steps are requested while earlier ones run
 * @param maxChains   chains open at most
 * @param maxSteps    steps that run at most, of all chains
 * @param tenantShare  the share of {@code mostSteps}, 0 to 1, that one tenant's chains may have
 * @param maxHeldBytes    bytes of answers held between steps at most, of all chains
 * @param reserveNanos time kept back at a deadline for the answer's way to the client
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
    /** What the time of a step is cut from. */
    public enum Clock {
        /** The chain's deadline, which all its steps share. */
        SHARED_DEADLINE,
        /** A deadline of its own, as long as the chain's; only for comparison in experiments and as a mutant for tests. */
        DEADLINE_PER_STEP
    }
}

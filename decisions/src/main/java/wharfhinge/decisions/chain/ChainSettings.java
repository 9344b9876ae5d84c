package wharfhinge.decisions.chain;

/**
 * What chains are decided by.
 *
 * @param clock         one deadline for the chain, or (only for comparison and as a mutant) a clock for each step
 * @param earlyRefusal  whether what can't be done in time is refused before it is begun
 * @param letThrough    of so many early refusals one is let through, to learn how often they are wrong; 0 none
 * @param loadAhead     whether functions of later steps are told to the policy while earlier ones run
 * @param mostChains    chains open at most
 * @param mostSteps     steps open at most, of all chains
 * @param tenantShare   of those, the part that one tenant's chains may have
 * @param mostBytes     bytes of answers held between steps, of all chains
 * @param reserveNanos     kept back at a deadline for the answer's way
 */
public record ChainSettings(
        Clock clock,
        boolean earlyRefusal,
        int letThrough,
        boolean loadAhead,
        int mostChains,
        int mostSteps,
        double tenantShare,
        long mostBytes,
        long reserveNanos) {
    /** What the time of a step is cut from. */
    public enum Clock {
        ONE,
        EACH_STEP
    }
}

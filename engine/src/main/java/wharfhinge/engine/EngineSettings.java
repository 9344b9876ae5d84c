package wharfhinge.engine;

import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.DispatcherSettings;

/**
 * The settings of an engine. Immutable.
 *
 * @param seed                    seed of the dispatcher's random choices; each later incarnation uses the next number
 * @param maxPendingCalls         the most calls that may be accepted and not yet answered at a time
 * @param submissionQueueCapacity the most calls that may wait for the engine's thread
 * @param admission               limits by tenant, or null if every tenant is admitted
 */
public record EngineSettings(
        long seed,
        DispatcherSettings dispatcher,
        int maxPendingCalls,
        int submissionQueueCapacity,
        AdmissionSettings admission,
        Chains chains) {

    /**
     * The settings of chain execution.
     *
     * @param resumeWindowNanos how long finished steps are kept for a retry under the same key
     * @param resumeKeys        the most keys that are kept at a time
     * @param resumeBytes       the most bytes of answers that are kept at a time
     */
    public record Chains(ChainSettings settings, long resumeWindowNanos, int resumeKeys, long resumeBytes) {
        /** Settings of a program that accepts no chains. */
        public static final Chains NONE = new Chains(
                new ChainSettings(ChainSettings.Clock.SHARED_DEADLINE, false, 0, false, 1, 1, 1, 1, 0), 1, 1, 1);
    }
}

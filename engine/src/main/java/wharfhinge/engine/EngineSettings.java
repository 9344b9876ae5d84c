package wharfhinge.engine;

import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.DispatcherSettings;

/**
 * What an engine is set to. Immutable.
 *
 * @param seed                    of the dispatcher's draws; each later incarnation takes the next number
 * @param maxPendingCalls         calls that may be accepted and unanswered at a time
 * @param submissionQueueCapacity calls that may wait for the engine's thread
 * @param admission               limits by tenant, or null where every tenant is admitted
 */
public record EngineSettings(
        long seed,
        DispatcherSettings dispatcher,
        int maxPendingCalls,
        int submissionQueueCapacity,
        AdmissionSettings admission,
        Chains chains) {

    /**
     * What the execution of chains is set to.
     *
     * @param resumeWindowNanos how long finished steps are kept for a retry under the same key
     * @param resumeKeys        keys that are kept at a time
     * @param resumeBytes       bytes of answers that are kept at a time
     */
    public record Chains(ChainSettings settings, long resumeWindowNanos, int resumeKeys, long resumeBytes) {
        /** For a program that takes no chains. */
        public static final Chains NONE = new Chains(
                new ChainSettings(ChainSettings.Clock.SHARED_DEADLINE, false, 0, false, 1, 1, 1, 1, 0), 1, 1, 1);
    }
}

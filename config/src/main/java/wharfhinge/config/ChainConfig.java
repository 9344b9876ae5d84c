package wharfhinge.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import wharfhinge.decisions.chain.ChainSettings;

/**
 * The configuration of chains. Times are in nanoseconds, sizes in bytes.
 *
 * @param settings          settings of the chain scheduler
 * @param maxDeadlineNanos  longest deadline of a chain, and its default
 * @param resumeWindowNanos how long answers of finished steps are cached for a retry
 * @param resumeKeys        maximum number of idempotency keys cached for each tenant
 * @param resumeBytes       maximum size of the answers cached for each tenant
 * @param resumeFile        file that keeps finished steps across restarts, or null
 * @param named             chains that clients call by name
 */
public record ChainConfig(
        ChainSettings settings,
        long maxDeadlineNanos,
        long resumeWindowNanos,
        int resumeKeys,
        long resumeBytes,
        Path resumeFile,
        Map<String, Named> named) {

    /** A chain that clients call by name. */
    public record Named(long latencyObjectiveNanos, List<NamedStep> steps) {}

    /**
     * A step of such a chain.
     *
     * @param id                 id of the step
     * @param function           function that it calls
     * @param requestClass       class of its requests
     * @param input              sources of its input, in order: {@code client} or ids of steps
     * @param memoryMb           memory of a copy, 0 if unknown
     * @param concurrencyPerCopy calls that one copy runs concurrently, 0 if unknown
     * @param loadMillis         usual duration of a load, 0 if unknown
     * @param costMicros         expected service time in microseconds, 0 if unknown
     */
    public record NamedStep(
            String id,
            String function,
            String requestClass,
            List<String> input,
            double memoryMb,
            int concurrencyPerCopy,
            double loadMillis,
            long costMicros) {}

    ChainConfig withSettings(ChainSettings changed) {
        return new ChainConfig(
                changed, maxDeadlineNanos, resumeWindowNanos, resumeKeys, resumeBytes, resumeFile, named);
    }
}

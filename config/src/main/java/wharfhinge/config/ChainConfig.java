package wharfhinge.config;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import wharfhinge.decisions.chain.ChainSettings;

/**
 * The configuration of chains. Times are nanoseconds, sizes bytes.
 *
 * @param settings          settings of the decisions on chains
 * @param maxDeadlineNanos       longest deadline of a chain, and its default
 * @param resumeWindowNanos how long answers of finished steps are cached for a retry
 * @param resumeKeys        idempotency keys cached for each tenant at most
 * @param resumeBytes       bytes of answers cached for each tenant at most
 * @param resumeFile        file that keeps finished steps over restarts, or null
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
     * @param id           name of the step
     * @param function     function that it calls
     * @param requestClass class of its requests
     * @param input        whose answers are its input, in order: {@code client} or ids of steps
     * @param memoryMb     memory of a copy, 0 where unknown
     * @param lanes        calls that one copy runs concurrently, 0 where unknown
     * @param loadMillis   usual time of a load, 0 where unknown
     * @param costMicros       expected service time in microseconds, 0 where unknown
     */
    public record NamedStep(
            String id,
            String function,
            String requestClass,
            List<String> input,
            double memoryMb,
            int lanes,
            double loadMillis,
            long costMicros) {}

    ChainConfig withSettings(ChainSettings changed) {
        return new ChainConfig(
                changed, maxDeadlineNanos, resumeWindowNanos, resumeKeys, resumeBytes, resumeFile, named);
    }
}

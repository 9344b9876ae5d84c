package wharfhinge.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainSettings;

/**
 * What chains are set to. Times are nanoseconds, sizes bytes.
 *
 * @param giveUpNanos   longest deadline of a chain, and its default
 * @param resumeFile where finished steps are kept over restarts, or null
 * @param named      chains that clients call by name
 */
public record ChainConfig(
        ChainSettings settings,
        long giveUpNanos,
        long resumeWindowNanos,
        int resumeKeys,
        long resumeBytes,
        Path resumeFile,
        Map<String, Named> named) {
    private static final long MS = 1_000_000L;
    private static final long MB = 1 << 20;

    /** A chain set by name. */
    public record Named(long aimNanos, List<NamedStep> steps) {}

    /** A step of such a chain; its input is the client's or steps' answers, by their names. */
    public record NamedStep(
            String id,
            String function,
            String requestClass,
            List<String> input,
            double memoryMb,
            int lanes,
            double loadMillis,
            long costUs) {}

    static void check(SettingsXml x, XmlFile.Faults faults) {
        Map<String, SettingsXml.CallClass> classes = new HashMap<>();
        x.classes.classes.forEach(c -> classes.put(c.name, c));
        for (SettingsXml.Chain chain : x.chains.chains) {
            List<ChainPlan.Step> steps = new ArrayList<>();
            Map<String, Long> ends = new HashMap<>();
            for (SettingsXml.ChainStep s : chain.steps) {
                SettingsXml.CallClass type = classes.get(s.requestClass);
                if (type == null || type.stream) {
                    faults.accept(
                            s,
                            "step " + s.id + ": found class " + s.requestClass + ", allowed: one of " + classes.keySet()
                                    + " that does not stream");
                }
                steps.add(new ChainPlan.Step(
                        s.id,
                        s.function,
                        s.requestClass,
                        wharfhinge.policy.Effect.IDEMPOTENT,
                        s.input.stream().filter(i -> !i.equals("client")).toList(),
                        0,
                        0));
            }
            try {
                ChainPlan.of(steps);
            } catch (ChainPlan.InvalidPlanException e) {
                faults.accept(chain, "chain " + chain.name + ": " + e.getMessage());
                continue;
            }
            long least = 0;
            for (int round = 0; round < chain.steps.size(); round++) { // longest path; order in the file is free
                for (SettingsXml.ChainStep s : chain.steps) {
                    long begin = s.input.stream()
                            .mapToLong(i -> ends.getOrDefault(i, 0L))
                            .max()
                            .orElse(0);
                    ends.put(s.id, begin + s.leastMillis);
                    least = Math.max(least, begin + s.leastMillis);
                }
            }
            if (least > chain.aimMillis) {
                faults.accept(
                        chain,
                        "chain " + chain.name + ": found least times that add up to " + least
                                + " ms along its longest path, allowed: at most aim-ms, " + chain.aimMillis);
            }
        }
    }

    static ChainConfig of(SettingsXml x, Path folder) {
        SettingsXml.Chains c = x.chains;
        Map<String, Named> named = new LinkedHashMap<>();
        c.chains.forEach(chain -> named.put(
                chain.name,
                new Named(
                        chain.aimMillis * MS,
                        chain.steps.stream()
                                .map(s -> new NamedStep(
                                        s.id,
                                        s.function,
                                        s.requestClass,
                                        List.copyOf(s.input),
                                        s.memoryMb,
                                        s.lanes,
                                        s.loadMillis,
                                        (long) s.costUs))
                                .toList())));
        return new ChainConfig(
                new ChainSettings(
                        ChainSettings.Clock.ONE,
                        c.earlyRefusal,
                        c.letThrough,
                        c.loadAhead,
                        c.maxOpen,
                        c.maxSteps,
                        c.tenantShare,
                        c.maxHeldMb * MB,
                        2 * x.gateway.tickMillis * MS),
                c.giveUpMillis * MS,
                c.resumeWindowMillis * MS,
                c.resumeKeys,
                c.resumeMb * MB,
                c.resumeFile.isEmpty() ? null : folder.resolve(c.resumeFile),
                named);
    }
}

package wharfhinge.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.config.ChainSettingsXml.Chain;
import wharfhinge.config.ChainSettingsXml.ChainStep;
import wharfhinge.config.PolicySettingsXml.CallClass;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.policy.Effect;

/** Validates the chains that clients call by name: their classes, their graph, and the sum of their minimum step times. */
final class ChainValidator {
    private static final String CLIENT_INPUT = "client";

    private final XmlFile.FaultListener faults;
    private final Map<String, CallClass> classes = new HashMap<>();

    private ChainValidator(SettingsXml settings, XmlFile.FaultListener faults) {
        this.faults = faults;
        settings.classes.classes.forEach(callClass -> classes.put(callClass.name, callClass));
    }

    static void validate(SettingsXml settings, XmlFile.FaultListener faults) {
        ChainValidator validator = new ChainValidator(settings, faults);
        settings.chains.chains.forEach(validator::validateChain);
    }

    private void validateChain(Chain chain) {
        List<ChainPlan.Step> steps = new ArrayList<>();
        for (ChainStep step : chain.steps) {
            validateClass(step);
            steps.add(planStep(step));
        }
        try {
            ChainPlan.of(steps);
        } catch (ChainPlan.InvalidPlanException e) {
            faults.accept(chain, "chain " + chain.name + ": " + e.getMessage());
            return;
        }
        long minTotalMillis = longestPathMillis(chain);
        if (minTotalMillis > chain.latencyObjectiveMillis) {
            faults.accept(
                    chain,
                    "chain " + chain.name + ": found least times that add up to " + minTotalMillis
                            + " ms along its longest path, allowed: at most aim-ms, " + chain.latencyObjectiveMillis);
        }
    }

    private void validateClass(ChainStep step) {
        CallClass callClass = classes.get(step.requestClass);
        if (callClass == null || callClass.streaming) {
            faults.accept(
                    step,
                    "step " + step.id + ": found class " + step.requestClass + ", allowed: one of " + classes.keySet()
                            + " that does not stream");
        }
    }

    private static ChainPlan.Step planStep(ChainStep step) {
        List<String> needs =
                step.input.stream().filter(id -> !id.equals(CLIENT_INPUT)).toList();
        return new ChainPlan.Step(step.id, step.function, step.requestClass, Effect.IDEMPOTENT, needs, 0, 0);
    }

    /**
     * The longest path of a chain, by the minimum times of its steps. The file may list steps in any order, so each round fixes the
     * end time of at least one more step of a path.
     */
    private static long longestPathMillis(Chain chain) {
        Map<String, Long> endMillis = new HashMap<>();
        long longestMillis = 0;
        for (int round = 0; round < chain.steps.size(); round++) {
            for (ChainStep step : chain.steps) {
                long startMillis = step.input.stream()
                        .mapToLong(id -> endMillis.getOrDefault(id, 0L))
                        .max()
                        .orElse(0);
                endMillis.put(step.id, startMillis + step.minMillis);
                longestMillis = Math.max(longestMillis, startMillis + step.minMillis);
            }
        }
        return longestMillis;
    }
}

package wharfhinge.decisions.chain;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Bounds the number of concurrently running steps, in total and for each tenant. A ready step beyond a bound waits; waiting steps are
 * started round-robin by tenant. The waiting steps are bounded by the number of open chains and by their deadlines.
 */
final class StepLimiter {
    /** A ready step that waits for capacity. */
    record WaitingStep(ActiveChain chain, int step) {}

    private final int maxSteps;
    private final double maxStepsOfTenant;
    private final Map<String, Integer> runningByTenant = new HashMap<>();
    private final Map<String, ArrayDeque<WaitingStep>> waitingByTenant = new LinkedHashMap<>();
    private int running;

    StepLimiter(ChainSettings settings) {
        this.maxSteps = settings.maxSteps();
        this.maxStepsOfTenant = Math.max(1, settings.tenantShare() * settings.maxSteps());
    }

    int running() {
        return running;
    }

    boolean hasCapacity(String tenant) {
        return running < maxSteps && runningByTenant.getOrDefault(tenant, 0) < maxStepsOfTenant;
    }

    void onStepStarted(String tenant) {
        running++;
        runningByTenant.merge(tenant, 1, Integer::sum);
    }

    void onStepEnded(String tenant) {
        running--;
        runningByTenant.computeIfPresent(tenant, (key, count) -> count == 1 ? null : count - 1);
    }

    void enqueue(ActiveChain chain, int step) {
        waitingByTenant
                .computeIfAbsent(chain.tenant(), key -> new ArrayDeque<>())
                .add(new WaitingStep(chain, step));
    }

    /**
     * Starts waiting steps while there is capacity, one for each tenant in turn.
     *
     * @param canStart  whether a step may still start; other steps are dropped
     * @param startStep starts a step or ends its chain
     */
    void startWaiting(Predicate<WaitingStep> canStart, Consumer<WaitingStep> startStep) {
        boolean hasStartedAny = !waitingByTenant.isEmpty();
        while (hasStartedAny) {
            hasStartedAny = false;
            for (String tenant : List.copyOf(waitingByTenant.keySet())) {
                hasStartedAny |= startOne(tenant, canStart, startStep);
            }
        }
    }

    private boolean startOne(String tenant, Predicate<WaitingStep> canStart, Consumer<WaitingStep> startStep) {
        ArrayDeque<WaitingStep> queue = waitingByTenant.get(tenant);
        while (!queue.isEmpty() && !canStart.test(queue.peek())) {
            queue.poll();
        }
        if (queue.isEmpty()) {
            waitingByTenant.remove(tenant);
            return false;
        }
        if (!hasCapacity(tenant)) {
            return false;
        }
        startStep.accept(queue.poll());
        return true;
    }
}

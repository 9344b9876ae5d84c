package wharfhinge.decisions.chain;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Bounds the steps that run at once, in all and for each tenant. A ready step beyond a bound waits; tenants whose steps wait
 * take turns. What waits is bounded by the chains that are open and by their deadlines.
 */
final class StepLimiter {
    /** A step that could run but for the bounds. */
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
     * Takes waiting steps while there is capacity, one for each tenant in turn.
     *
     * @param isCurrent whether a step may still start; others are dropped
     * @param onTurn    starts a step, or ends its chain
     */
    void drain(Predicate<WaitingStep> isCurrent, Consumer<WaitingStep> onTurn) {
        boolean hasTakenAny = !waitingByTenant.isEmpty();
        while (hasTakenAny) {
            hasTakenAny = false;
            for (String tenant : List.copyOf(waitingByTenant.keySet())) {
                hasTakenAny |= takeOne(tenant, isCurrent, onTurn);
            }
        }
    }

    private boolean takeOne(String tenant, Predicate<WaitingStep> isCurrent, Consumer<WaitingStep> onTurn) {
        ArrayDeque<WaitingStep> queue = waitingByTenant.get(tenant);
        while (!queue.isEmpty() && !isCurrent.test(queue.peek())) {
            queue.poll();
        }
        if (queue.isEmpty()) {
            waitingByTenant.remove(tenant);
            return false;
        }
        if (!hasCapacity(tenant)) {
            return false;
        }
        onTurn.accept(queue.poll());
        return true;
    }
}

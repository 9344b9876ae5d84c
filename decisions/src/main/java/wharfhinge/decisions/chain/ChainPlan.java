package wharfhinge.decisions.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.Effect;

/** The steps of a chain and what each waits for: a graph without cycles, checked when it is made. */
public final class ChainPlan {
    /** Most steps of a chain. */
    public static final int MOST_STEPS = 64;
    /** Most steps that wait for each other in a row. */
    public static final int MOST_DEPTH = 16;

    /**
     * One step.
     *
     * @param needs  ids of the steps whose answers it waits for
     * @param costNanos expected work, 0 untold
     * @param loadNanos usual time of a load, 0 untold
     */
    public record Step(
            String id,
            String function,
            String requestClass,
            Effect effect,
            List<String> needs,
            long costNanos,
            long loadNanos) {}

    /** A plan that is no chain; names the place, what was found and what is allowed. */
    public static final class InvalidPlanException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidPlanException(String place, String found, String allowed) {
            super(place + ": found " + found + ", allowed: " + allowed);
        }
    }

    private final List<Step> steps;
    private final int[][] needs;
    private final int[][] dependents;
    private final int[] order;

    private ChainPlan(List<Step> steps, int[][] needs, int[][] dependents, int[] order) {
        this.steps = steps;
        this.needs = needs;
        this.dependents = dependents;
        this.order = order;
    }

    /** Checks and orders steps. */
    public static ChainPlan of(List<Step> steps) throws InvalidPlanException {
        int n = steps.size();
        if (n == 0 || n > MOST_STEPS) {
            throw new InvalidPlanException("steps", Integer.toString(n), "1 to " + MOST_STEPS);
        }
        Map<String, Integer> byId = new HashMap<>();
        for (int i = 0; i < n; i++) {
            if (byId.put(steps.get(i).id(), i) != null) {
                throw new InvalidPlanException(
                        "steps[" + i + "].id", "'" + steps.get(i).id() + "' twice", "once");
            }
        }
        int[][] needs = new int[n][];
        List<List<Integer>> dependents = new ArrayList<>();
        steps.forEach(s -> dependents.add(new ArrayList<>()));
        for (int i = 0; i < n; i++) {
            List<String> names = steps.get(i).needs().stream().distinct().toList();
            needs[i] = new int[names.size()];
            for (int k = 0; k < names.size(); k++) {
                Integer need = byId.get(names.get(k));
                if (need == null) {
                    throw new InvalidPlanException(
                            "steps[" + i + "].input", "'" + names.get(k) + "'", "client or the id of a step");
                }
                needs[i][k] = need;
                dependents.get(need).add(i);
            }
        }
        int[][] after = dependents.stream()
                .map(d -> d.stream().mapToInt(x -> x).toArray())
                .toArray(int[][]::new);
        return new ChainPlan(List.copyOf(steps), needs, after, order(steps, needs, after));
    }

    private static int[] order(List<Step> steps, int[][] needs, int[][] dependents) throws InvalidPlanException {
        int n = needs.length;
        int[] missing = new int[n];
        int[] depth = new int[n];
        int[] order = new int[n];
        int done = 0;
        for (int i = 0; i < n; i++) {
            missing[i] = needs[i].length;
            if (missing[i] == 0) {
                depth[i] = 1;
                order[done++] = i;
            }
        }
        for (int at = 0; at < done; at++) {
            for (int next : dependents[order[at]]) {
                depth[next] = Math.max(depth[next], depth[order[at]] + 1);
                if (depth[next] > MOST_DEPTH) {
                    throw new InvalidPlanException(
                            "steps[" + next + "]", "over " + MOST_DEPTH + " steps in a row", "at most " + MOST_DEPTH);
                }
                if (--missing[next] == 0) {
                    order[done++] = next;
                }
            }
        }
        if (done < n) {
            int stuck = 0;
            while (missing[stuck] == 0) {
                stuck++;
            }
            throw new InvalidPlanException(
                    "steps[" + stuck + "].input",
                    "'" + steps.get(stuck).id() + "' waiting for itself",
                    "steps without a cycle");
        }
        return order;
    }

    /** The steps as given. */
    public List<Step> steps() {
        return steps;
    }

    /** How many steps. */
    public int size() {
        return steps.size();
    }

    /** Steps in the longest row. */
    int depth() {
        int[] depth = new int[size()];
        int deepest = 0;
        for (int step : order) {
            for (int need : needs[step]) {
                depth[step] = Math.max(depth[step], depth[need]);
            }
            deepest = Math.max(deepest, ++depth[step]);
        }
        return deepest;
    }

    /** What a step waits for; not to be changed. */
    int[] needs(int step) {
        return needs[step];
    }

    /** What waits for a step; not to be changed. */
    int[] dependents(int step) {
        return dependents[step];
    }

    /** Steps in an order in which each stands after all that it needs; not to be changed. */
    int[] order() {
        return order;
    }
}

package wharfhinge.decisions.chain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.Effect;

/** The steps of a chain and their dependencies: a directed acyclic graph, validated on creation. Steps are addressed by index. */
public final class ChainPlan {
    /** Maximum number of steps of a chain. */
    public static final int MAX_STEPS = 64;
    /** Maximum number of steps on a path of dependencies. */
    public static final int MAX_DEPTH = 16;

    /**
     * One step.
     *
     * @param id           name of the step within its chain
     * @param function     function that the step calls
     * @param requestClass class of the request, which determines its latency objective
     * @param effect       whether the step may run twice
     * @param needs        ids of the steps whose answers the step waits for
     * @param costNanos    expected service time; 0 if unknown
     * @param loadNanos    typical time of a load of the function; 0 if unknown
     */
    public record Step(
            String id,
            String function,
            String requestClass,
            Effect effect,
            List<String> needs,
            long costNanos,
            long loadNanos) {}

    /** Thrown for an invalid plan; the message names the place, what was found there and what is allowed. */
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

    /** Validates steps and sorts them topologically. */
    public static ChainPlan of(List<Step> steps) throws InvalidPlanException {
        if (steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw new InvalidPlanException("steps", Integer.toString(steps.size()), "1 to " + MAX_STEPS);
        }
        int[][] needs = resolveNeeds(steps, indexById(steps));
        int[][] dependents = invert(needs);
        return new ChainPlan(List.copyOf(steps), needs, dependents, topologicalOrder(steps, needs, dependents));
    }

    private static Map<String, Integer> indexById(List<Step> steps) throws InvalidPlanException {
        Map<String, Integer> indexById = new HashMap<>();
        for (int step = 0; step < steps.size(); step++) {
            String id = steps.get(step).id();
            if (indexById.put(id, step) != null) {
                throw new InvalidPlanException("steps[" + step + "].id", "'" + id + "' twice", "once");
            }
        }
        return indexById;
    }

    private static int[][] resolveNeeds(List<Step> steps, Map<String, Integer> indexById) throws InvalidPlanException {
        int[][] needs = new int[steps.size()][];
        for (int step = 0; step < needs.length; step++) {
            List<String> ids = steps.get(step).needs().stream().distinct().toList();
            needs[step] = new int[ids.size()];
            for (int position = 0; position < ids.size(); position++) {
                Integer need = indexById.get(ids.get(position));
                if (need == null) {
                    throw new InvalidPlanException(
                            "steps[" + step + "].input", "'" + ids.get(position) + "'", "client or the id of a step");
                }
                needs[step][position] = need;
            }
        }
        return needs;
    }

    /** By step, the steps that need it, in ascending order. */
    private static int[][] invert(int[][] needs) {
        List<List<Integer>> dependents = new ArrayList<>();
        for (int step = 0; step < needs.length; step++) {
            dependents.add(new ArrayList<>());
        }
        for (int step = 0; step < needs.length; step++) {
            for (int need : needs[step]) {
                dependents.get(need).add(step);
            }
        }
        return dependents.stream()
                .map(list -> list.stream().mapToInt(Integer::intValue).toArray())
                .toArray(int[][]::new);
    }

    private static int[] topologicalOrder(List<Step> steps, int[][] needs, int[][] dependents)
            throws InvalidPlanException {
        int[] pendingNeeds = new int[needs.length];
        int[] depth = new int[needs.length];
        int[] order = new int[needs.length];
        int sorted = 0;
        for (int step = 0; step < needs.length; step++) {
            pendingNeeds[step] = needs[step].length;
            if (pendingNeeds[step] == 0) {
                depth[step] = 1;
                order[sorted++] = step;
            }
        }
        for (int position = 0; position < sorted; position++) {
            int step = order[position];
            for (int dependent : dependents[step]) {
                depth[dependent] = Math.max(depth[dependent], depth[step] + 1);
                if (depth[dependent] > MAX_DEPTH) {
                    throw tooDeep(dependent);
                }
                if (--pendingNeeds[dependent] == 0) {
                    order[sorted++] = dependent;
                }
            }
        }
        if (sorted < needs.length) {
            throw cycle(steps, pendingNeeds);
        }
        return order;
    }

    private static InvalidPlanException tooDeep(int step) {
        return new InvalidPlanException(
                "steps[" + step + "]", "over " + MAX_DEPTH + " steps in a row", "at most " + MAX_DEPTH);
    }

    private static InvalidPlanException cycle(List<Step> steps, int[] pendingNeeds) {
        int unsorted = 0;
        while (pendingNeeds[unsorted] == 0) {
            unsorted++;
        }
        return new InvalidPlanException(
                "steps[" + unsorted + "].input",
                "'" + steps.get(unsorted).id() + "' waiting for itself",
                "steps without a cycle");
    }

    /** The steps in the order in which the client listed them. */
    public List<Step> steps() {
        return steps;
    }

    /** Number of steps. */
    public int size() {
        return steps.size();
    }

    /** Number of steps on the longest path. */
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

    /** The steps whose answers a step needs; must not be modified. */
    int[] needs(int step) {
        return needs[step];
    }

    /** The steps that need the answer of a step; must not be modified. */
    int[] dependents(int step) {
        return dependents[step];
    }

    /** All steps in topological order, each after all the steps that it needs; must not be modified. */
    int[] order() {
        return order;
    }
}

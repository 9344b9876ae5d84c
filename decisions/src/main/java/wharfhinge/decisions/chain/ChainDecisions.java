package wharfhinge.decisions.chain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.decisions.chain.ChainEnd.Kind;
import wharfhinge.decisions.chain.ChainEnd.StepState;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainSettings.Clock;
import wharfhinge.policy.Effect;

/**
 * The decisions on all chains of one gateway. Told events and time, answers with {@link Actions}, which may not call back
 * in. One thread.
 *
 * <p>A step may take what is left less the least that the steps after it need (their low estimates along the longest
 * path): a slow step may use up slack, but never what makes the rest hopeless. A chain is refused, at its start or before a
 * later step, when the chance that its longest path still fits is under {@link #LEAST_CHANCE}, and under more where the
 * fleet turns steps away: a lost try costs nothing where there is room. Acts on any cause of slowness that answers tell:
 * queues, loads, slow workers. It may hurt where times change faster than they are learned: that is what the refusals let
 * through are for.
 *
 * <p>Bounds: chains and steps open, and a tenant's part of the steps. A ready step beyond them waits within its chain,
 * which is bounded by the chain's deadline; chains beyond them are refused.
 */
public final class ChainDecisions {
    /** A chain with less chance than this is not begun or gone on with: even a quick run would not make it. */
    static final double LEAST_CHANCE = 0.1;
    /** What is asked for beyond that where the fleet turns away or loses this share of steps: work is scarce there. */
    static final double CHANCE_UNDER_PRESSURE = 0.2;

    static final double FULL_PRESSURE = 0.1;
    /**
     * Chains open at once follow how they end: a served one raises the bound, one that is lost cuts it by the part of it that
     * had run, so that it settles where about a fifth of the work is lost, at any size; a chain whose first step is turned
     * away cost nothing and cuts nothing. Acts on any shortage; where each step is turned away by chance, chains lose work
     * that single calls would not. It hurts where chains are lost for reasons of their own.
     */
    private static final double OPEN_START = 32;

    private static final double OPEN_RAISE = 0.01;
    private static final double OPEN_CUT = 0.045;
    private static final double OPEN_LEAST = 2;
    private static final double SMOOTH_PRESSURE = 0.01; // some hundred steps decide
    private static final int FUNCTIONS = 4096;

    /** What becomes of decisions. */
    public interface Actions {
        /** Starts a step as a call that may take so long. */
        void start(long chain, int step, long mayTakeNanos);

        /** Gives up on a step that is out. */
        void cancel(long chain, int step);

        /** Tells the policy that a step's function will be wanted. */
        void expect(long chain, int step);

        /** Gives the chain's final answer. */
        void end(long chain, ChainEnd end);
    }

    /** What the policy believes. */
    @FunctionalInterface
    public interface Fleet {
        /** Whether a copy is believed to stand. */
        boolean believedWarm(String function);
    }

    /** How a step's call ended. */
    public enum StepEnd {
        SERVED,
        REFUSED,
        FAILED
    }

    /** What is counted from the start on. */
    public enum Count {
        CHAINS,
        SERVED,
        REFUSED,
        FAILED,
        LEFT,
        REFUSED_FULL,
        REFUSED_AT_START,
        REFUSED_LATER,
        LET_THROUGH,
        LET_THROUGH_SERVED,
        AHEAD_ORDERED,
        AHEAD_USED,
        AHEAD_UNUSED,
        AHEAD_LATE,
        AHEAD_FOR_NEXT,
        STEPS,
        STEPS_CANCELLED
    }

    private static final class Chain {
        private final long id;
        private final ChainPlan plan;
        private final String tenant;
        private final long deadline;
        private final long aimNanos;
        private final long untoldNanos; // what a step may take of it where nothing is known
        private final StepState[] states;
        private final int[] missing;
        private final long[] startedAt;
        private final boolean[] believed;
        private final boolean[] ahead;
        private int served;
        private boolean letThrough;

        Chain(long id, ChainPlan plan, String tenant, long deadline, long now) {
            this.id = id;
            this.plan = plan;
            this.tenant = tenant;
            this.deadline = deadline;
            this.aimNanos = deadline - now;
            this.untoldNanos = aimNanos / plan.depth();
            int n = plan.size();
            states = new StepState[n];
            Arrays.fill(states, StepState.NOT_STARTED);
            missing = new int[n];
            startedAt = new long[n];
            believed = new boolean[n];
            ahead = new boolean[n];
            for (int i = 0; i < n; i++) {
                missing[i] = plan.needs(i).length;
            }
        }
    }

    private record Ready(Chain chain, int step) {}

    private final ChainSettings settings;
    private final Actions actions;
    private final Fleet fleet;
    private final ServiceTimeEstimates times = new ServiceTimeEstimates(FUNCTIONS);
    private final Map<Long, Chain> chains = new HashMap<>();
    private final Map<String, Integer> stepsOf = new HashMap<>();
    private final Map<String, ArrayDeque<Ready>> waiting = new LinkedHashMap<>(); // by tenant, who take turns
    private final long[] counts = new long[Count.values().length];
    private int stepsOpen;
    private long wouldRefuse;
    private double mayBeOpen = OPEN_START;
    private double pressure; // share of steps refused or failed of late

    /** Decisions that know nothing yet. */
    public ChainDecisions(ChainSettings settings, Actions actions, Fleet fleet) {
        this.settings = settings;
        this.actions = actions;
        this.fleet = fleet;
    }

    /** How often something was counted. */
    public long count(Count count) {
        return counts[count.ordinal()];
    }

    /** Chains open. */
    public int open() {
        return chains.size();
    }

    /** Steps out. */
    public int stepsOpen() {
        return stepsOpen;
    }

    // ---- Events -----------------------------------------------------------------------------

    /**
     * A chain came.
     *
     * @param done steps whose answers an earlier try of the same chain left; they do not run again
     */
    public void begin(long now, long id, ChainPlan plan, String tenant, long deadline, boolean[] done) {
        add(Count.CHAINS);
        Chain c = new Chain(id, plan, tenant == null ? "" : tenant, deadline, now);
        if (chains.size() >= settings.mostChains()) {
            add(Count.REFUSED_FULL);
            add(Count.REFUSED);
            actions.end(id, new ChainEnd(Kind.REFUSED, "too-many-chains", List.of(c.states)));
            return;
        }
        chains.put(id, c);
        for (int step : plan.order()) {
            if (done != null && done[step]) {
                served(c, step);
            }
        }
        if (c.served == plan.size()) {
            end(c, Kind.SERVED, "all-steps-finished-before");
        } else if (!hopeless(now, c, Count.REFUSED_AT_START)) {
            for (int step = 0; step < plan.size(); step++) {
                if (ready(c, step)) {
                    offer(now, c, step);
                }
            }
            startWaiting(now);
        }
    }

    /** A step's call ended; {@code loaded} tells whether it met a load. */
    public void stepEnded(long now, long id, int step, StepEnd how, long tookNanos, boolean loaded) {
        Chain c = chains.get(id);
        if (c == null || c.states[step] != StepState.RUNNING) {
            return;
        }
        stepOver(c);
        pressure += SMOOTH_PRESSURE * ((how == StepEnd.SERVED ? 0 : 1) - pressure);
        Step s = c.plan.steps().get(step);
        switch (how) {
            case SERVED -> {
                times.learn(now, s.function(), loaded, c.believed[step], tookNanos);
                if (c.ahead[step]) {
                    add(loaded ? Count.AHEAD_LATE : Count.AHEAD_USED);
                    c.ahead[step] = false;
                }
                served(c, step);
                goOn(now, c, step);
            }
            case REFUSED -> {
                c.states[step] = StepState.REFUSED;
                endEarly(c, "step-refused:" + s.id());
            }
            default -> {
                c.states[step] = StepState.MAY_HAVE_RUN;
                endEarly(c, "step-failed:" + s.id());
            }
        }
        startWaiting(now);
    }

    /** The client went away: what is out can't matter any more. */
    public void clientLeft(long now, long id) {
        Chain c = chains.get(id);
        if (c != null) {
            add(Count.LEFT);
            drop(c);
            startWaiting(now);
        }
    }

    /** The chain's time is over, less what its answer needs. */
    public void due(long now, long id) {
        Chain c = chains.get(id);
        if (c != null) {
            endEarly(c, "out-of-time");
            startWaiting(now);
        }
    }

    /** A gateway can't hold more answers between steps. */
    public void outOfBytes(long now, long id) {
        Chain c = chains.get(id);
        if (c != null) {
            endEarly(c, "too-many-bytes-held");
            startWaiting(now);
        }
    }

    // ---- Going on ---------------------------------------------------------------------------

    private static boolean ready(Chain c, int step) {
        return c.states[step] == StepState.NOT_STARTED && c.missing[step] == 0;
    }

    private void served(Chain c, int step) {
        c.states[step] = StepState.SERVED;
        c.served++;
        for (int next : c.plan.dependents(step)) {
            c.missing[next]--;
        }
    }

    private void goOn(long now, Chain c, int step) {
        if (c.served == c.plan.size()) {
            end(c, Kind.SERVED, "");
            return;
        }
        int[] next = c.plan.dependents(step);
        boolean any = Arrays.stream(next).anyMatch(n -> ready(c, n));
        if (any && !hopeless(now, c, Count.REFUSED_LATER)) {
            for (int n : next) {
                if (ready(c, n)) {
                    offer(now, c, n);
                }
            }
        }
    }

    private void offer(long now, Chain c, int step) {
        if (!chains.containsKey(c.id)) {
            return; // a step offered just before found no time left, and the chain has its answer
        }
        if (mayOpen(c.tenant)) {
            start(now, c, step);
        } else {
            waiting.computeIfAbsent(c.tenant, t -> new ArrayDeque<>()).add(new Ready(c, step));
        }
    }

    private boolean mayOpen(String tenant) {
        return stepsOpen < settings.mostSteps()
                && stepsOf.getOrDefault(tenant, 0) < Math.max(1, settings.tenantShare() * settings.mostSteps());
    }

    /** Tenants whose steps wait take turns. */
    private void startWaiting(long now) {
        boolean started = !waiting.isEmpty();
        while (started) {
            started = false;
            for (String tenant : List.copyOf(waiting.keySet())) {
                ArrayDeque<Ready> line = waiting.get(tenant);
                while (!line.isEmpty() && !ready(line.peek().chain, line.peek().step)
                        || !line.isEmpty() && !chains.containsKey(line.peek().chain.id)) {
                    line.poll();
                }
                if (line.isEmpty()) {
                    waiting.remove(tenant);
                } else if (mayOpen(tenant)) {
                    Ready next = line.poll();
                    if (!hopeless(now, next.chain, Count.REFUSED_LATER)) {
                        start(now, next.chain, next.step);
                    }
                    started = true;
                }
            }
        }
    }

    private void start(long now, Chain c, int step) {
        long mayTake = mayTake(now, c, step);
        if (mayTake <= 0) {
            endEarly(c, "out-of-time");
            return;
        }
        Step s = c.plan.steps().get(step);
        c.states[step] = StepState.RUNNING;
        c.startedAt[step] = now;
        c.believed[step] = fleet.believedWarm(s.function());
        stepsOpen++;
        stepsOf.merge(c.tenant, 1, Integer::sum);
        add(Count.STEPS);
        actions.start(c.id, step, mayTake);
        if (settings.loadAhead()) {
            for (int next : c.plan.dependents(step)) {
                loadAhead(now, c, next);
            }
        }
    }

    /** A later function that is not believed warm is told now, if that makes the difference between in time and late. */
    private void loadAhead(long now, Chain c, int step) {
        Step s = c.plan.steps().get(step);
        if (c.ahead[step] || c.states[step] != StepState.NOT_STARTED || fleet.believedWarm(s.function())) {
            return;
        }
        LatencyQuantiles rest = longest(now, c);
        LatencyQuantiles saved = estimate(c, step, false);
        LatencyQuantiles warm = times.warm(s.function(), s.costNanos(), c.untoldNanos);
        long left = c.deadline - now;
        long gain = saved.median() - warm.median();
        boolean matters = rest.within(left) < 0.9 && rest.within(left + gain) > rest.within(left);
        if (matters) {
            c.ahead[step] = true;
            add(Count.AHEAD_ORDERED);
            actions.expect(c.id, step);
        }
    }

    private void stepOver(Chain c) {
        stepsOpen--;
        stepsOf.merge(c.tenant, -1, (a, b) -> a + b == 0 ? null : a + b);
    }

    // ---- Time -------------------------------------------------------------------------------

    /** What a step may take: what is left, less the least that the rest needs after it. */
    long mayTake(long now, Chain c, int step) {
        if (settings.clock() == Clock.EACH_STEP) {
            return c.aimNanos - settings.reserveNanos();
        }
        return c.deadline - now - settings.reserveNanos() - leastAfter(c, step);
    }

    private long leastAfter(Chain c, int step) {
        long[] least = new long[c.plan.size()];
        int[] order = c.plan.order();
        for (int k = order.length - 1; k >= 0; k--) {
            for (int next : c.plan.dependents(order[k])) {
                Step s = c.plan.steps().get(next);
                long needs =
                        times.warm(s.function(), s.costNanos(), c.untoldNanos).low();
                least[order[k]] = Math.max(least[order[k]], least[next] + needs);
            }
        }
        // estimates that ask for more than there is must not stop a step that was found worth starting
        return Math.min(least[step], Math.max(0, c.aimNanos / 2));
    }

    private LatencyQuantiles estimate(Chain c, int step, boolean believed) {
        Step s = c.plan.steps().get(step);
        return believed
                ? times.warm(s.function(), s.costNanos(), c.untoldNanos)
                : times.unsure(s.function(), s.costNanos(), s.loadNanos(), c.untoldNanos);
    }

    /** The longest path of what is not yet served, by medians. */
    private LatencyQuantiles longest(long now, Chain c) {
        LatencyQuantiles[] from = new LatencyQuantiles[c.plan.size()];
        int[] order = c.plan.order();
        LatencyQuantiles longest = LatencyQuantiles.NONE;
        for (int k = order.length - 1; k >= 0; k--) {
            int step = order[k];
            LatencyQuantiles rest = LatencyQuantiles.NONE;
            for (int next : c.plan.dependents(step)) {
                rest = from[next].median() >= rest.median() ? from[next] : rest;
            }
            from[step] = switch (c.states[step]) {
                case SERVED -> rest;
                case RUNNING -> estimate(c, step, c.believed[step])
                        .after(now - c.startedAt[step])
                        .then(rest);
                default -> estimate(
                                c,
                                step,
                                fleet.believedWarm(c.plan.steps().get(step).function()))
                        .then(rest);};
            longest = from[step].median() >= longest.median() ? from[step] : longest;
        }
        return longest;
    }

    /** Whether the chain is to be given up now; then it has its answer. */
    private boolean hopeless(long now, Chain c, Count as) {
        if (!settings.earlyRefusal() || settings.clock() == Clock.EACH_STEP || c.letThrough) {
            return false;
        }
        if (as == Count.REFUSED_AT_START && chains.size() > mayBeOpen) {
            return refused(c, as, "too-many-for-the-fleet");
        }
        double least = LEAST_CHANCE + CHANCE_UNDER_PRESSURE * Math.min(1, pressure / FULL_PRESSURE);
        if (longest(now, c).within(c.deadline - settings.reserveNanos() - now) >= least) {
            return false;
        }
        return refused(c, as, "too-little-time");
    }

    /** Refuses, unless this is the one of many that is let through. */
    private boolean refused(Chain c, Count as, String why) {
        if (settings.letThrough() > 0 && ++wouldRefuse % settings.letThrough() == 0) {
            c.letThrough = true;
            add(Count.LET_THROUGH);
            return false;
        }
        add(as);
        loadForTheNext(c);
        endEarly(c, why);
        return true;
    }

    /**
     * A chain that is refused since its functions do not stand brings no load, so the next one would be refused too, and
     * so on. What it would have loaded is told to the policy, which orders it within its own limits. It hurts where no
     * like chain comes: a load for nothing.
     */
    private void loadForTheNext(Chain c) {
        for (int step = 0; settings.loadAhead() && step < c.states.length; step++) {
            boolean wanted = c.states[step] == StepState.NOT_STARTED && !c.ahead[step];
            if (wanted && !fleet.believedWarm(c.plan.steps().get(step).function())) {
                add(Count.AHEAD_FOR_NEXT);
                actions.expect(c.id, step);
            }
        }
    }

    // ---- Ends -------------------------------------------------------------------------------

    /** Rule 2 for the whole: a refusal only where no step may have run that must not run twice. */
    private void endEarly(Chain c, String reason) {
        boolean harmless = true;
        for (int i = 0; i < c.states.length; i++) {
            boolean exposed = c.states[i] == StepState.SERVED
                    || c.states[i] == StepState.RUNNING
                    || c.states[i] == StepState.MAY_HAVE_RUN;
            harmless &= !exposed || c.plan.steps().get(i).effect() == Effect.IDEMPOTENT;
        }
        end(c, harmless ? Kind.REFUSED : Kind.FAILED, reason);
    }

    private void end(Chain c, Kind kind, String reason) {
        add(kind == Kind.SERVED ? Count.SERVED : kind == Kind.REFUSED ? Count.REFUSED : Count.FAILED);
        if (kind == Kind.SERVED) {
            mayBeOpen *= chains.size() >= mayBeOpen / 2 ? 1 + OPEN_RAISE : 1;
        } else {
            mayBeOpen = Math.max(OPEN_LEAST, mayBeOpen * (1 - OPEN_CUT * partLost(c)));
        }
        if (c.letThrough && kind == Kind.SERVED) {
            add(Count.LET_THROUGH_SERVED);
        }
        drop(c);
        List<StepState> states = new ArrayList<>(List.of(c.states));
        states.replaceAll(s -> s == StepState.RUNNING ? StepState.MAY_HAVE_RUN : s);
        actions.end(c.id, new ChainEnd(kind, reason, List.copyOf(states)));
    }

    /** Of a chain that is lost, the steps on which work was spent. */
    private static double partLost(Chain c) {
        long spent = Arrays.stream(c.states)
                .filter(s -> s != StepState.NOT_STARTED && s != StepState.REFUSED)
                .count();
        return spent / (double) c.states.length;
    }

    private void drop(Chain c) {
        chains.remove(c.id);
        for (int i = 0; i < c.states.length; i++) {
            if (c.ahead[i]) {
                add(Count.AHEAD_UNUSED);
            }
            if (c.states[i] == StepState.RUNNING) {
                stepOver(c);
                add(Count.STEPS_CANCELLED);
                actions.cancel(c.id, i);
            }
        }
    }

    private void add(Count count) {
        counts[count.ordinal()]++;
    }
}

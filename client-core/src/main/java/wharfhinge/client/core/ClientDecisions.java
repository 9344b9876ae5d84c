package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * All that a client decides: one deadline over all tries, a budget of further tries, back-off with full jitter that honours a
 * gateway's advice, no repeat of a call that may have run unless it is safe, which gateway, ejection, hedges, a cap on open calls.
 * Told events with their times (nanoseconds of a clock that never runs backwards; the wall clock does not matter), answers with
 * {@link Actions}; each call ends exactly once. An action must not call back into this. One thread.
 */
public final class ClientDecisions {

    /** What it may do. */
    public interface Actions {
        /** Sends a try; {@code remainingNs} is what is left of the deadline. */
        void send(long call, int index, String gateway, long remainingNanos, boolean repeat);

        /** Nobody waits for this try any more; its end, if told, is ignored. */
        void abandon(long call, int index);

        /** The one final answer; {@code index} is the try whose answer it is, or -1. */
        void finish(long call, CallEnd end, int index);

        /** Asks for {@link ClientDecisions#due} after a delay. */
        void timer(long call, int token, long delayNanos);
    }

    private static final int DEADLINE = -1;
    private static final int NEXT = -2;
    private static final int HEDGE = -3;
    private static final int MOST_DOUBLINGS = 30;

    private static final class Try {
        private final String gateway;
        private final long sentAt;
        private boolean over;

        Try(String gateway, long sentAt) {
            this.gateway = gateway;
            this.sentAt = sentAt;
        }
    }

    private static final class Call {
        private final long id;
        private final CallPlan plan;
        private final long deadline;
        private final List<Try> tries = new ArrayList<>(2);
        private final Set<String> tried = new LinkedHashSet<>();
        private boolean mayHaveRun;
        private boolean streams; // its answer has begun: there is no way back, and no deadline
        private boolean waits; // for its next try
        private int waitNumber; // of the last wait; a timer of a former one is ignored
        private int failures;

        Call(long id, CallPlan plan, long deadline) {
            this.id = id;
            this.plan = plan;
            this.deadline = deadline;
        }

        private long live() {
            return tries.stream().filter(t -> !t.over).count();
        }
    }

    /** What is counted. */
    public record Figures(int open, double tokens, long ejected, long retries, long hedges) {}

    private final ClientPolicy policy;
    private final RandomGenerator random;
    private final Actions actions;
    private final Gateways gateways;
    private final Map<Long, Call> calls = new HashMap<>();
    private double tokens;
    private long retries;
    private long hedges;

    /** Decisions that draw from {@code random} alone. */
    public ClientDecisions(ClientPolicy policy, RandomGenerator random, Actions actions) {
        this.policy = policy;
        this.random = random;
        this.actions = actions;
        this.gateways = new Gateways(policy, random);
        this.tokens = policy.retryBurst();
    }

    /** The gateways there are from now on. */
    public void gateways(List<String> names) {
        gateways.list(names);
    }

    /** What is counted. */
    public Figures figures() {
        return new Figures(calls.size(), tokens, gateways.ejected(), retries, hedges);
    }

    /** A call comes; {@code id} is the caller's and new. */
    public void begin(long now, long id, CallPlan plan) {
        if (calls.size() >= policy.maxOpen()) {
            actions.finish(
                    id,
                    new CallEnd(CallEnd.Kind.REFUSED, false, policy.backoffNanos(), 0, CallEnd.Reason.TOO_MANY_OPEN),
                    -1);
            return;
        }
        tokens = Math.min(policy.retryBurst(), tokens + policy.retryShare());
        Call c = new Call(id, plan, now + plan.deadlineNanos());
        calls.put(id, c);
        actions.timer(id, DEADLINE, plan.deadlineNanos());
        if (plan.hedge()) {
            actions.timer(id, HEDGE, policy.hedgeNanos());
        }
        send(now, c);
    }

    /** The caller gives up. */
    public void cancel(long now, long id) {
        Call c = calls.get(id);
        if (c != null) {
            finish(now, c, CallEnd.Kind.CANCELLED, CallEnd.Reason.CALLER, 0, -1);
        }
    }

    /** A timer that was asked for is due. */
    public void due(long now, long id, int token) {
        Call c = calls.get(id);
        if (c == null || c.streams) {
            return;
        }
        if (token == DEADLINE) {
            finish(now, c, CallEnd.Kind.LATE, CallEnd.Reason.DEADLINE, 0, -1);
        } else if (token == HEDGE) {
            hedge(now, c);
        } else if (token <= NEXT) {
            next(now, c, token);
        } else if (token < c.tries.size()) {
            silent(now, c, token);
        }
    }

    /**
     * A streamed answer begins with this try: the deadline no longer runs, other copies are given up, and there is no further try, for its
     * first parts are the caller's already. False where nobody waits for this try any more.
     */
    public boolean began(long now, long id, int index) {
        Call c = calls.get(id);
        if (c == null || c.streams || c.tries.get(index).over) {
            return false;
        }
        c.streams = true;
        giveUp(now, c, index, false);
        return true;
    }

    /** A try ended; {@code adviceNs} is when to come back, 0 where nobody said. */
    public void ended(long now, long id, int index, TryEnd end, long adviceNanos) {
        Call c = calls.get(id);
        if (c == null || c.tries.get(index).over) {
            return;
        }
        Try t = c.tries.get(index);
        t.over = true;
        gateways.ended(now, t.gateway, end != TryEnd.BROKEN && end != TryEnd.NOT_SENT);
        if (c.streams && end != TryEnd.SERVED) {
            c.mayHaveRun = true;
            finish(now, c, CallEnd.Kind.FAILED, CallEnd.Reason.BROKE_OFF, 0, index);
            return;
        }
        switch (end) {
            case SERVED -> finish(now, c, CallEnd.Kind.SERVED, CallEnd.Reason.ANSWERED, 0, index);
            case INVALID -> finish(now, c, CallEnd.Kind.INVALID, CallEnd.Reason.ANSWERED, 0, index);
            case REFUSED, NOT_SENT -> again(now, c, index, end, adviceNanos);
            case FAILED, BROKEN -> {
                c.mayHaveRun = true;
                again(now, c, index, end, 0);
            }
        }
    }

    private void send(long now, Call c) {
        c.waits = false;
        String gateway = gateways.choose(now, c.tried, c.plan.safe());
        if (gateway == null) {
            finish(now, c, CallEnd.Kind.REFUSED, CallEnd.Reason.NO_GATEWAY, policy.backoffNanos(), -1);
            return;
        }
        c.tried.add(gateway);
        c.tries.add(new Try(gateway, now));
        int index = c.tries.size() - 1;
        if (c.plan.safe() && now + policy.silentNanos() < c.deadline) {
            actions.timer(c.id, index, policy.silentNanos());
        }
        actions.send(c.id, index, gateway, c.deadline - now, index > 0);
    }

    /** A try ended without an answer. */
    private void again(long now, Call c, int index, TryEnd end, long adviceNanos) {
        if (c.live() > 0 || c.waits) {
            return; // another copy may still serve it, or its turn is set
        }
        boolean ran = c.mayHaveRun;
        if (ran && !c.plan.safe()) {
            finish(now, c, CallEnd.Kind.FAILED, CallEnd.Reason.UNSAFE, 0, index);
            return;
        }
        CallEnd.Kind kind = ran ? CallEnd.Kind.FAILED : CallEnd.Kind.REFUSED;
        if (tokens < 1) {
            finish(now, c, kind, CallEnd.Reason.BUDGET_SPENT, adviceNanos, index);
            return;
        }
        boolean elsewhere = end == TryEnd.NOT_SENT && c.failures == 0; // the connection's fault, not load: at once
        long most = Math.min(policy.backoffMostNanos(), policy.backoffNanos() << Math.min(c.failures, MOST_DOUBLINGS));
        c.failures++;
        long wait = elsewhere ? 0 : adviceNanos + (long) (random.nextDouble() * most);
        if (now + wait >= c.deadline) {
            finish(now, c, kind, CallEnd.Reason.NO_TIME_TO_COME_BACK, adviceNanos, index);
            return;
        }
        tokens--;
        retries++;
        c.waits = true;
        c.waitNumber++;
        actions.timer(c.id, NEXT - 2 * c.waitNumber, wait);
    }

    private void next(long now, Call c, int token) {
        if (c.waits && token == NEXT - 2 * c.waitNumber) {
            send(now, c);
        }
    }

    /** A safe call's try says nothing: another gateway gets it, and this one is given up. */
    private void silent(long now, Call c, int index) {
        Try t = c.tries.get(index);
        if (t.over || tokens < 1 || c.live() > 1) {
            return;
        }
        t.over = true;
        c.mayHaveRun = true;
        gateways.ended(now, t.gateway, false);
        actions.abandon(c.id, index);
        tokens--;
        retries++;
        send(now, c);
    }

    private void hedge(long now, Call c) {
        if (c.live() == 1 && !c.waits && tokens >= 1) {
            tokens--;
            hedges++;
            send(now, c);
        }
    }

    /** Abandons all tries but one; tells whether any was out. */
    private boolean giveUp(long now, Call c, int but, boolean late) {
        boolean out = false;
        for (int i = 0; i < c.tries.size(); i++) {
            Try t = c.tries.get(i);
            if (!t.over && i != but) {
                t.over = true;
                out = true;
                boolean silent = late && now - t.sentAt >= policy.silentNanos(); // it owed an answer by now
                gateways.ended(now, t.gateway, silent ? Boolean.FALSE : null);
                actions.abandon(c.id, i);
            }
        }
        return out;
    }

    private void finish(long now, Call c, CallEnd.Kind kind, CallEnd.Reason reason, long comeBackNanos, int index) {
        boolean out = giveUp(now, c, -1, kind == CallEnd.Kind.LATE);
        calls.remove(c.id);
        boolean ran = kind != CallEnd.Kind.INVALID && (c.mayHaveRun || out || kind == CallEnd.Kind.SERVED);
        actions.finish(c.id, new CallEnd(kind, ran, comeBackNanos, c.tries.size(), reason), index);
    }
}

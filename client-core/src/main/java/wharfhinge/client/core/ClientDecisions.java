package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Every decision of a client: one deadline over all attempts, a retry budget, backoff with full jitter that honours Retry-After, no
 * retry of a call that may have run unless it is idempotent, the choice of a gateway, ejection, hedged requests, a limit on pending
 * calls. Gets events with their time (nanoseconds of a clock that never runs backwards) and answers with {@link Actions}; each call
 * ends exactly once. An action must not call back into this. One thread at a time.
 */
public final class ClientDecisions {

    /** The actions of a client, carried out by whoever drives the decisions. */
    public interface Actions {
        /** Sends an attempt; {@code remainingNanos} is what is left of the deadline. */
        void sendAttempt(long call, int index, String gateway, long remainingNanos, boolean repeat);

        /** Abandons an attempt; its result, if reported, is ignored. */
        void abandonAttempt(long call, int index);

        /** Completes the call; {@code index} is the attempt whose answer it is, or -1. */
        void finish(long call, CallResult end, int index);

        /** Requests {@link ClientDecisions#onTimer} after a delay. */
        void scheduleTimer(long call, int token, long delayNanos);
    }

    private static final int DEADLINE_TIMER = -1;
    private static final int RETRY_TIMER = -2;
    private static final int HEDGE_TIMER = -3;
    private static final int MAX_DOUBLINGS = 30;

    private static final class Attempt {
        private final String gateway;
        private final long sentAt;
        private boolean ended;

        Attempt(String gateway, long sentAt) {
            this.gateway = gateway;
            this.sentAt = sentAt;
        }
    }

    private static final class PendingCall {
        private final long id;
        private final CallPlan plan;
        private final long deadline;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private final Set<String> gatewaysTried = new LinkedHashSet<>();
        private boolean mayHaveRun;
        private boolean streaming; // its answer has started: no retry and no deadline from now on
        private boolean waitingForRetry;
        private int retryTimerNumber; // of the last backoff; timers of earlier ones are ignored
        private int failures;

        PendingCall(long id, CallPlan plan, long deadline) {
            this.id = id;
            this.plan = plan;
            this.deadline = deadline;
        }

        private long attemptsInFlight() {
            return attempts.stream().filter(t -> !t.ended).count();
        }
    }

    /** Counters and gauges of a client. */
    public record Metrics(int pending, double retryTokens, long ejected, long retries, long hedges) {}

    private final ClientPolicy policy;
    private final RandomGenerator random;
    private final Actions actions;
    private final GatewayPool onGatewayList;
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private double retryTokens;
    private long retries;
    private long hedges;

    /** Creates the decisions of one client; all randomness comes from {@code random}. */
    public ClientDecisions(ClientPolicy policy, RandomGenerator random, Actions actions) {
        this.policy = policy;
        this.random = random;
        this.actions = actions;
        this.onGatewayList = new GatewayPool(policy, random);
        this.retryTokens = policy.retryBurst();
    }

    /** The list of gateways changed. */
    public void onGatewayList(List<String> names) {
        onGatewayList.onGatewayList(names);
    }

    /** Counters and gauges of a client. */
    public Metrics metrics() {
        return new Metrics(calls.size(), retryTokens, onGatewayList.ejectedCount(), retries, hedges);
    }

    /** A new call under a new id. */
    public void onCall(long now, long id, CallPlan plan) {
        if (calls.size() >= policy.maxPending()) {
            actions.finish(
                    id,
                    new CallResult(
                            CallResult.Kind.REFUSED, false, policy.backoffNanos(), 0, CallResult.Reason.TOO_MANY_OPEN),
                    -1);
            return;
        }
        retryTokens = Math.min(policy.retryBurst(), retryTokens + policy.retryTokensPerCall());
        PendingCall call = new PendingCall(id, plan, now + plan.deadlineNanos());
        calls.put(id, call);
        actions.scheduleTimer(id, DEADLINE_TIMER, plan.deadlineNanos());
        if (plan.hedge()) {
            actions.scheduleTimer(id, HEDGE_TIMER, policy.hedgeNanos());
        }
        send(now, call);
    }

    /** The caller cancelled a call. */
    public void onCancelled(long now, long id) {
        PendingCall call = calls.get(id);
        if (call != null) {
            finish(now, call, CallResult.Kind.CANCELLED, CallResult.Reason.CALLER, 0, -1);
        }
    }

    /** A timer fired. */
    public void onTimer(long now, long id, int token) {
        PendingCall call = calls.get(id);
        if (call == null || call.streaming) {
            return;
        }
        if (token == DEADLINE_TIMER) {
            finish(now, call, CallResult.Kind.LATE, CallResult.Reason.DEADLINE, 0, -1);
        } else if (token == HEDGE_TIMER) {
            sendHedge(now, call);
        } else if (token <= RETRY_TIMER) {
            sendRetry(now, call, token);
        } else if (token < call.attempts.size()) {
            onSilent(now, call, token);
        }
    }

    /**
     * A streamed answer starts with this attempt: the deadline no longer runs, other attempts are abandoned, and there is no retry, since
     * the caller has the first parts already. Returns false where the attempt was abandoned.
     */
    public boolean onStreamStarted(long now, long id, int index) {
        PendingCall call = calls.get(id);
        if (call == null || call.streaming || call.attempts.get(index).ended) {
            return false;
        }
        call.streaming = true;
        abandonAttempts(now, call, index, false);
        return true;
    }

    /** An attempt ended; {@code retryAfterNanos} is the gateway's Retry-After, 0 without one. */
    public void onAttemptEnded(long now, long id, int index, AttemptResult end, long retryAfterNanos) {
        PendingCall call = calls.get(id);
        if (call == null || call.attempts.get(index).ended) {
            return;
        }
        Attempt attempt = call.attempts.get(index);
        attempt.ended = true;
        onGatewayList.onAttemptEnded(
                now, attempt.gateway, end != AttemptResult.BROKEN && end != AttemptResult.NOT_SENT);
        if (call.streaming && end != AttemptResult.SERVED) {
            call.mayHaveRun = true;
            finish(now, call, CallResult.Kind.FAILED, CallResult.Reason.BROKE_OFF, 0, index);
            return;
        }
        switch (end) {
            case SERVED -> finish(now, call, CallResult.Kind.SERVED, CallResult.Reason.ANSWERED, 0, index);
            case INVALID -> finish(now, call, CallResult.Kind.INVALID, CallResult.Reason.ANSWERED, 0, index);
            case REFUSED, NOT_SENT -> retryOrFinish(now, call, index, end, retryAfterNanos);
            case FAILED, BROKEN -> {
                call.mayHaveRun = true;
                retryOrFinish(now, call, index, end, 0);
            }
        }
    }

    private void send(long now, PendingCall call) {
        call.waitingForRetry = false;
        String gateway = onGatewayList.choose(now, call.gatewaysTried, call.plan.idempotent());
        if (gateway == null) {
            finish(now, call, CallResult.Kind.REFUSED, CallResult.Reason.NO_GATEWAY, policy.backoffNanos(), -1);
            return;
        }
        call.gatewaysTried.add(gateway);
        call.attempts.add(new Attempt(gateway, now));
        int index = call.attempts.size() - 1;
        if (call.plan.idempotent() && now + policy.silentNanos() < call.deadline) {
            actions.scheduleTimer(call.id, index, policy.silentNanos());
        }
        actions.sendAttempt(call.id, index, gateway, call.deadline - now, index > 0);
    }

    /** An attempt ended without an answer: retries within budget and deadline, or ends the call. */
    private void retryOrFinish(long now, PendingCall call, int index, AttemptResult end, long retryAfterNanos) {
        if (call.attemptsInFlight() > 0 || call.waitingForRetry) {
            return; // another attempt may still be answered, or a retry is scheduled
        }
        boolean mayHaveRun = call.mayHaveRun;
        if (mayHaveRun && !call.plan.idempotent()) {
            finish(now, call, CallResult.Kind.FAILED, CallResult.Reason.UNSAFE, 0, index);
            return;
        }
        CallResult.Kind kind = mayHaveRun ? CallResult.Kind.FAILED : CallResult.Kind.REFUSED;
        if (retryTokens < 1) {
            finish(now, call, kind, CallResult.Reason.BUDGET_SPENT, retryAfterNanos, index);
            return;
        }
        boolean retryAtOnce = end == AttemptResult.NOT_SENT && call.failures == 0; // a connection fault, not overload
        long maxBackoffNanos =
                Math.min(policy.maxBackoffNanos(), policy.backoffNanos() << Math.min(call.failures, MAX_DOUBLINGS));
        call.failures++;
        long waitNanos = retryAtOnce ? 0 : retryAfterNanos + (long) (random.nextDouble() * maxBackoffNanos);
        if (now + waitNanos >= call.deadline) {
            finish(now, call, kind, CallResult.Reason.NO_TIME_TO_COME_BACK, retryAfterNanos, index);
            return;
        }
        retryTokens--;
        retries++;
        call.waitingForRetry = true;
        call.retryTimerNumber++;
        actions.scheduleTimer(call.id, RETRY_TIMER - 2 * call.retryTimerNumber, waitNanos);
    }

    private void sendRetry(long now, PendingCall call, int token) {
        if (call.waitingForRetry && token == RETRY_TIMER - 2 * call.retryTimerNumber) {
            send(now, call);
        }
    }

    /** An idempotent call's attempt got no answer for too long: it is abandoned, another gateway gets the call. */
    private void onSilent(long now, PendingCall call, int index) {
        Attempt attempt = call.attempts.get(index);
        if (attempt.ended || retryTokens < 1 || call.attemptsInFlight() > 1) {
            return;
        }
        attempt.ended = true;
        call.mayHaveRun = true;
        onGatewayList.onAttemptEnded(now, attempt.gateway, false);
        actions.abandonAttempt(call.id, index);
        retryTokens--;
        retries++;
        send(now, call);
    }

    private void sendHedge(long now, PendingCall call) {
        if (call.attemptsInFlight() == 1 && !call.waitingForRetry && retryTokens >= 1) {
            retryTokens--;
            hedges++;
            send(now, call);
        }
    }

    /** Abandons all attempts except one; returns whether any was in flight. */
    private boolean abandonAttempts(long now, PendingCall call, int except, boolean deadlinePassed) {
        boolean anyInFlight = false;
        for (int i = 0; i < call.attempts.size(); i++) {
            Attempt attempt = call.attempts.get(i);
            if (!attempt.ended && i != except) {
                attempt.ended = true;
                anyInFlight = true;
                boolean silent =
                        deadlinePassed && now - attempt.sentAt >= policy.silentNanos(); // an answer was due by now
                onGatewayList.onAttemptEnded(now, attempt.gateway, silent ? Boolean.FALSE : null);
                actions.abandonAttempt(call.id, i);
            }
        }
        return anyInFlight;
    }

    private void finish(
            long now,
            PendingCall call,
            CallResult.Kind kind,
            CallResult.Reason reason,
            long retryAfterNanos,
            int index) {
        boolean anyInFlight = abandonAttempts(now, call, -1, kind == CallResult.Kind.LATE);
        calls.remove(call.id);
        boolean mayHaveRun =
                kind != CallResult.Kind.INVALID && (call.mayHaveRun || anyInFlight || kind == CallResult.Kind.SERVED);
        actions.finish(call.id, new CallResult(kind, mayHaveRun, retryAfterNanos, call.attempts.size(), reason), index);
    }
}

package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Makes all decisions of a client: one deadline for all attempts of a call, a retry budget, backoff with full jitter that honours
 * Retry-After, no retry of a possibly executed call unless it is idempotent, choice and ejection of gateways, hedged requests, and a
 * limit on pending calls.
 *
 * <p>Takes events with their time (nanoseconds of a monotonic clock) and responds with {@link Actions}. Each call ends exactly once.
 * An action must not call back into this object. Not thread-safe.
 */
public final class ClientDecisions {

    /** The actions of a client, executed by the owner of the decisions. */
    public interface Actions {
        /** Sends an attempt; {@code remainingNanos} is the time until the deadline, {@code repeat} is true for a retry or hedge. */
        void sendAttempt(long call, int index, String gateway, long remainingNanos, boolean repeat);

        /** Abandons an attempt; its result, if reported, is ignored. */
        void abandonAttempt(long call, int index);

        /** Completes the call; {@code index} is the attempt that determined the result, or -1. */
        void finish(long call, CallResult result, int index);

        /** Requests {@link ClientDecisions#onTimer} after a delay. */
        void scheduleTimer(long call, int token, long delayNanos);
    }

    // Timer tokens. A token of 0 or more is the index of the attempt whose silence timeout ends. The token of retry
    // timer n (from 1) is RETRY_TIMER - 2n, an even number, so that it never equals the token of another timer.
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
        private boolean streaming; // the answer has started: retries and the deadline no longer apply
        private boolean waitingForRetry;
        private int retryTimerNumber; // number of the latest retry timer; earlier ones are ignored
        private int failures;

        PendingCall(long id, CallPlan plan, long deadline) {
            this.id = id;
            this.plan = plan;
            this.deadline = deadline;
        }

        private long attemptsInFlight() {
            return attempts.stream().filter(attempt -> !attempt.ended).count();
        }
    }

    /** Counters and gauges of a client. */
    public record Metrics(int pending, double retryTokens, long ejected, long retries, long hedges) {}

    private final ClientPolicy policy;
    private final RandomGenerator random;
    private final Actions actions;
    private final GatewayPool gatewayPool;
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private double retryTokens;
    private long retries;
    private long hedges;

    /** Creates the decisions of one client; all randomness comes from {@code random}. */
    public ClientDecisions(ClientPolicy policy, RandomGenerator random, Actions actions) {
        this.policy = policy;
        this.random = random;
        this.actions = actions;
        this.gatewayPool = new GatewayPool(policy, random);
        this.retryTokens = policy.retryBurst();
    }

    /** Replaces the list of gateways. */
    public void onGatewayList(List<String> names) {
        gatewayPool.onGatewayList(names);
    }

    /** The current counters and gauges. */
    public Metrics metrics() {
        return new Metrics(calls.size(), retryTokens, gatewayPool.ejectedCount(), retries, hedges);
    }

    /** Starts a call; {@code id} must be new. */
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

    /** Cancels a call on behalf of the caller. */
    public void onCancelled(long now, long id) {
        PendingCall call = calls.get(id);
        if (call != null) {
            finish(now, call, CallResult.Kind.CANCELLED, CallResult.Reason.CALLER, 0, -1);
        }
    }

    /** Handles a timer that was requested by {@link Actions#scheduleTimer}. */
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
     * Handles the start of a streamed answer: the deadline no longer applies, the other attempts are abandoned, and there is no retry,
     * since the caller receives parts from now on. Returns false, and changes nothing, if the call or the attempt has ended or an
     * answer of the call is being streamed already.
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

    /** Handles the end of an attempt; {@code retryAfterNanos} is the gateway's Retry-After, or 0 without one. */
    public void onAttemptEnded(long now, long id, int index, AttemptResult result, long retryAfterNanos) {
        PendingCall call = calls.get(id);
        if (call == null || call.attempts.get(index).ended) {
            return;
        }
        Attempt attempt = call.attempts.get(index);
        attempt.ended = true;
        gatewayPool.onAttemptEnded(
                now, attempt.gateway, result != AttemptResult.BROKEN && result != AttemptResult.NOT_SENT);
        if (call.streaming && result != AttemptResult.SERVED) {
            call.mayHaveRun = true;
            finish(now, call, CallResult.Kind.FAILED, CallResult.Reason.BROKE_OFF, 0, index);
            return;
        }
        switch (result) {
            case SERVED -> finish(now, call, CallResult.Kind.SERVED, CallResult.Reason.ANSWERED, 0, index);
            case INVALID -> finish(now, call, CallResult.Kind.INVALID, CallResult.Reason.ANSWERED, 0, index);
            case REFUSED, NOT_SENT -> retryOrFinish(now, call, index, result, retryAfterNanos);
            case FAILED, BROKEN -> {
                call.mayHaveRun = true;
                retryOrFinish(now, call, index, result, 0);
            }
        }
    }

    private void send(long now, PendingCall call) {
        call.waitingForRetry = false;
        String gateway = gatewayPool.choose(now, call.gatewaysTried, call.plan.idempotent());
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

    /**
     * Retries a call after an unsuccessful attempt, or ends it if idempotency, retry budget or deadline forbid a retry. Does nothing
     * while another attempt is in flight or a retry is scheduled.
     */
    private void retryOrFinish(long now, PendingCall call, int index, AttemptResult result, long retryAfterNanos) {
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
        // an unsent attempt indicates a connection fault, not overload: a call's first retry then needs no backoff
        boolean retryAtOnce = result == AttemptResult.NOT_SENT && call.failures == 0;
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

    /**
     * Abandons an idempotent call's attempt that was not answered within the silence timeout, and retries at once, on another gateway
     * if there is one. Keeps the attempt if the retry budget is spent or another attempt is in flight.
     */
    private void onSilent(long now, PendingCall call, int index) {
        Attempt attempt = call.attempts.get(index);
        if (attempt.ended || retryTokens < 1 || call.attemptsInFlight() > 1) {
            return;
        }
        attempt.ended = true;
        call.mayHaveRun = true;
        gatewayPool.onAttemptEnded(now, attempt.gateway, false);
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

    /** Abandons all attempts except {@code except}; returns whether any was in flight. */
    private boolean abandonAttempts(long now, PendingCall call, int except, boolean deadlinePassed) {
        boolean anyInFlight = false;
        for (int i = 0; i < call.attempts.size(); i++) {
            Attempt attempt = call.attempts.get(i);
            if (!attempt.ended && i != except) {
                attempt.ended = true;
                anyInFlight = true;
                // an attempt unanswered for the silence timeout counts as a failure of the gateway
                boolean silent = deadlinePassed && now - attempt.sentAt >= policy.silentNanos();
                gatewayPool.onAttemptEnded(now, attempt.gateway, silent ? Boolean.FALSE : null);
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

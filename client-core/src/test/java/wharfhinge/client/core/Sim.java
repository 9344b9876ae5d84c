package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;

/** Runs a client's decisions against scripted gateways in simulated time, and records violations of its rules. */
final class Sim implements ClientDecisions.Actions {
    static final long MS = 1_000_000L;

    /** A gateway's answer to an attempt and the time until it. A script returns null for no answer. */
    record Answer(AttemptResult result, long delayNanos, long retryAfterNanos) {
        static Answer of(AttemptResult result, long delayMillis) {
            return new Answer(result, delayMillis * MS, 0);
        }
    }

    record SentAttempt(long at, long call, int index, String gateway, long remainingNanos, boolean repeat) {}

    private record ScheduledAction(long at, long sequence, Runnable action) {}

    final ClientDecisions client;
    final List<SentAttempt> sent = new ArrayList<>();
    final Map<Long, CallResult> results = new HashMap<>();
    final Map<Long, Long> endedAt = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final Function<SentAttempt, Answer> gateways;
    private final java.util.Set<Long> nonIdempotentCalls = new java.util.HashSet<>();
    private final java.util.Set<Long> possiblyExecuted = new java.util.HashSet<>();
    private long nextSequence;
    long now = 5 * MS;

    Sim(ClientPolicy policy, long seed, Function<SentAttempt, Answer> gateways) {
        this.gateways = gateways;
        this.client = new ClientDecisions(policy, new Random(seed), this);
    }

    void call(long id, CallPlan plan) {
        if (!plan.idempotent()) {
            nonIdempotentCalls.add(id);
        }
        client.onCall(now, id, plan);
    }

    void at(long delayNanos, Runnable action) {
        queue.add(new ScheduledAction(now + delayNanos, nextSequence++, action));
    }

    void run(long durationNanos) {
        long end = now + durationNanos;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            ScheduledAction next = queue.poll();
            now = next.at;
            next.action.run();
        }
        now = end;
    }

    @Override
    public void sendAttempt(long call, int index, String gateway, long remainingNanos, boolean repeat) {
        SentAttempt attempt = new SentAttempt(now, call, index, gateway, remainingNanos, repeat);
        sent.add(attempt);
        if (results.containsKey(call) || remainingNanos <= 0) {
            violations.add("attempt sent after the call's end or deadline: " + attempt);
        }
        Answer answer = gateways.apply(attempt);
        if (possiblyExecuted.contains(call)) {
            violations.add("retry of a possibly executed, non-idempotent call: " + attempt);
        }
        if (answer != null) {
            at(answer.delayNanos, () -> {
                if (nonIdempotentCalls.contains(call)
                        && (answer.result == AttemptResult.BROKEN || answer.result == AttemptResult.FAILED)) {
                    possiblyExecuted.add(call);
                }
            });
            at(answer.delayNanos, () -> client.onAttemptEnded(now, call, index, answer.result, answer.retryAfterNanos));
        }
    }

    @Override
    public void abandonAttempt(long call, int index) {}

    @Override
    public void finish(long call, CallResult result, int index) {
        if (results.put(call, result) != null) {
            violations.add("two results for call " + call);
        }
        endedAt.put(call, now);
    }

    @Override
    public void scheduleTimer(long call, int token, long delayNanos) {
        at(delayNanos, () -> client.onTimer(now, call, token));
    }

    long attempts(long call) {
        return sent.stream().filter(attempt -> attempt.call == call).count();
    }
}

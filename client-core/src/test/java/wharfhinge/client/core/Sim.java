package wharfhinge.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;

/** A client before scripted gateways, over simulated time. */
final class Sim implements ClientDecisions.Actions {
    static final long MS = 1_000_000L;

    /** How a gateway answers a try: after a time, or never. */
    record Answer(AttemptResult end, long afterNanos, long adviceNanos) {
        static Answer of(AttemptResult end, long afterMillis) {
            return new Answer(end, afterMillis * MS, 0);
        }
    }

    record Sent(long at, long call, int index, String gateway, long remainingNanos, boolean repeat) {}

    private record Due(long at, long number, Runnable what) {}

    final ClientDecisions client;
    final List<Sent> sent = new ArrayList<>();
    final Map<Long, CallResult> ends = new HashMap<>();
    final Map<Long, Long> endedAt = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final Function<Sent, Answer> gateways;
    private final java.util.Set<Long> unsafe = new java.util.HashSet<>();
    private final java.util.Set<Long> ran = new java.util.HashSet<>();
    private long number;
    long now = 5 * MS;

    Sim(ClientPolicy policy, long seed, Function<Sent, Answer> gateways) {
        this.gateways = gateways;
        this.client = new ClientDecisions(policy, new Random(seed), this);
    }

    void call(long id, CallPlan plan) {
        if (!plan.idempotent()) {
            unsafe.add(id);
        }
        client.onCall(now, id, plan);
    }

    void at(long delayNanos, Runnable what) {
        queue.add(new Due(now + delayNanos, number++, what));
    }

    void run(long forNanos) {
        long end = now + forNanos;
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Due due = queue.poll();
            now = due.at;
            due.what.run();
        }
        now = end;
    }

    @Override
    public void sendAttempt(long call, int index, String gateway, long remainingNanos, boolean repeat) {
        Sent s = new Sent(now, call, index, gateway, remainingNanos, repeat);
        sent.add(s);
        if (ends.containsKey(call) || remainingNanos <= 0) {
            faults.add("sent after its end or deadline: " + s);
        }
        Answer answer = gateways.apply(s);
        if (ran.contains(call)) {
            faults.add("unsafe and may have run, sent again: " + s);
        }
        if (answer != null) {
            at(answer.afterNanos, () -> {
                if (unsafe.contains(call)
                        && (answer.end == AttemptResult.BROKEN || answer.end == AttemptResult.FAILED)) {
                    ran.add(call);
                }
            });
            at(answer.afterNanos, () -> client.onAttemptEnded(now, call, index, answer.end, answer.adviceNanos));
        }
    }

    @Override
    public void abandonAttempt(long call, int index) {}

    @Override
    public void finish(long call, CallResult end, int index) {
        if (ends.put(call, end) != null) {
            faults.add("two ends for " + call);
        }
        endedAt.put(call, now);
    }

    @Override
    public void scheduleTimer(long call, int token, long delayNanos) {
        at(delayNanos, () -> client.onTimer(now, call, token));
    }

    long tries(long call) {
        return sent.stream().filter(s -> s.call == call).count();
    }
}

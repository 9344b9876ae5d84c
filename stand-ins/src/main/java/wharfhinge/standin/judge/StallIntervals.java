package wharfhinge.standin.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * When gateways, workers and the process that records the clients were down, stopped, or not run by the machine. Spans may be added in any
 * order, all before the first question. Times in nanoseconds on the clock of the trace. One thread.
 */
final class StallIntervals {
    /** What a loopback socket and a busy machine may add between two recorders. */
    static final long SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private record Span(long from, long to) {}

    private final Map<String, List<Span>> gatewayStops = new HashMap<>();
    private final Map<String, List<Span>> gatewayNotRun = new HashMap<>();
    private final Map<String, List<Span>> workerStops = new HashMap<>();
    private final List<Span> recorderStops = new ArrayList<>();
    private final Map<String, Long> stoppedGateways = new HashMap<>();
    private final Map<String, Long> stoppedWorkers = new HashMap<>();

    void onWorkerStopped(String worker, long at) {
        stoppedWorkers.putIfAbsent(worker, at);
    }

    void onWorkerResumed(String worker, long at) {
        Long from = stoppedWorkers.remove(worker);
        if (from != null) {
            add(workerStops, worker, new Span(from, at));
        }
    }

    /** The machine did not run a worker's process for a while until then. */
    void onWorkerNotRun(String worker, long until, long nanos) {
        add(workerStops, worker, new Span(until - nanos, until));
    }

    void onGatewayStopped(String gateway, long at) {
        stoppedGateways.putIfAbsent(gateway, at);
    }

    void onGatewayResumed(String gateway, long at) {
        Long from = stoppedGateways.remove(gateway);
        add(gatewayStops, gateway, new Span(from == null ? at : from, at));
    }

    /** The machine did not run a thread of a gateway for a while until then. */
    void onGatewayNotRun(String gateway, long until, long nanos) {
        add(gatewayNotRun, gateway, new Span(until - nanos, until));
    }

    /** An I/O thread of the recording process was away for a while until then. */
    void onRecorderNotRun(long until, long nanos) {
        recorderStops.add(new Span(until - nanos, until));
    }

    /** The trace has ended: what is stopped stays so. */
    void end() {
        stoppedWorkers.forEach(
                (worker, from) -> add(workerStops, worker, new Span(from, Long.MAX_VALUE - SLACK_NANOS)));
        stoppedGateways.forEach((gateway, from) -> add(gatewayStops, gateway, new Span(from, Long.MAX_VALUE)));
    }

    private static void add(Map<String, List<Span>> spans, String name, Span span) {
        spans.computeIfAbsent(name, absent -> new ArrayList<>()).add(span);
    }

    private static List<Span> of(Map<String, List<Span>> spans, String name) {
        return spans.getOrDefault(name, List.of());
    }

    /** Whether a gateway was down or stopped at some time of a span. */
    boolean wasGatewayStopped(String gateway, long from, long to) {
        return of(gatewayStops, gateway).stream()
                .anyMatch(span -> span.from <= to + SLACK_NANOS && span.to >= from - SLACK_NANOS);
    }

    /** When a gateway went on that was down or stopped then; that time itself where it was not. */
    long gatewayResumedAt(String gateway, long at) {
        return of(gatewayStops, gateway).stream()
                .filter(span -> span.from <= at && at <= span.to)
                .mapToLong(Span::to)
                .findFirst()
                .orElse(at);
    }

    /** For how much of a span the machine did not run a gateway's threads: by so much all that it does may be late. */
    long gatewayNotRunNanos(String gateway, long from, long to) {
        List<Span> inOrder = of(gatewayNotRun, gateway).stream()
                .sorted(Comparator.comparingLong(Span::from))
                .toList();
        long covered = 0;
        long reached = from;
        for (Span span : inOrder) {
            long begin = Math.max(span.from, reached);
            long end = Math.min(span.to, to);
            if (end > begin) {
                covered += end - begin;
                reached = end;
            }
        }
        return covered;
    }

    /**
     * Whether a worker's process stood still at some time of a span. What came to it meanwhile it reads, and notes, once it goes on: then it
     * is known that it came, not when.
     */
    boolean wasWorkerStopped(String worker, long from, long to) {
        return of(workerStops, worker).stream().anyMatch(span -> span.from <= to && span.to + SLACK_NANOS >= from);
    }

    /**
     * The earliest time at which what a worker noted can have come to it: as it noted it, or where its process stood still just before, the
     * beginning of that standstill.
     */
    long earliestArrival(String worker, long notedAt) {
        long earliest = notedAt;
        boolean isMoved = true;
        while (isMoved) {
            long before = earliest;
            earliest = of(workerStops, worker).stream()
                    .filter(span -> span.from < before && span.to + SLACK_NANOS >= before)
                    .mapToLong(Span::from)
                    .min()
                    .orElse(before);
            isMoved = earliest < before;
        }
        return earliest;
    }

    /** Whether the recording process stood still at some time of a span: what came then it noted later, or not. */
    boolean wasRecorderStopped(long from, long to) {
        return recorderStops.stream().anyMatch(span -> span.from <= to && span.to >= from);
    }
}

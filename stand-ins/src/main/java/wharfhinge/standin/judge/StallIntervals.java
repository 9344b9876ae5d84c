package wharfhinge.standin.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The intervals in which gateways, workers and the process that records the clients were down, stopped, or not scheduled by the operating
 * system. Intervals may be added in any order, but all before the first query. Times are in nanoseconds on the clock of the trace. Not
 * thread-safe.
 */
final class StallIntervals {
    /** The delay that a loopback socket and a busy machine may add between two recorders. */
    static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private record Interval(long from, long to) {}

    private final Map<String, List<Interval>> gatewayStops = new HashMap<>();
    private final Map<String, List<Interval>> gatewayStalls = new HashMap<>();
    private final Map<String, List<Interval>> workerStops = new HashMap<>();
    private final List<Interval> recorderStops = new ArrayList<>();
    private final Map<String, Long> stoppedGateways = new HashMap<>();
    private final Map<String, Long> stoppedWorkers = new HashMap<>();

    void onWorkerStopped(String worker, long at) {
        stoppedWorkers.putIfAbsent(worker, at);
    }

    void onWorkerResumed(String worker, long at) {
        Long from = stoppedWorkers.remove(worker);
        if (from != null) {
            add(workerStops, worker, new Interval(from, at));
        }
    }

    /** A worker's process was not scheduled for {@code nanos} up to {@code until}. */
    void onWorkerNotRun(String worker, long until, long nanos) {
        add(workerStops, worker, new Interval(until - nanos, until));
    }

    void onGatewayStopped(String gateway, long at) {
        stoppedGateways.putIfAbsent(gateway, at);
    }

    void onGatewayResumed(String gateway, long at) {
        Long from = stoppedGateways.remove(gateway);
        add(gatewayStops, gateway, new Interval(from == null ? at : from, at));
    }

    /** A thread of a gateway was not scheduled for {@code nanos} up to {@code until}. */
    void onGatewayNotRun(String gateway, long until, long nanos) {
        add(gatewayStalls, gateway, new Interval(until - nanos, until));
    }

    /** An I/O thread of the recording process was not scheduled for {@code nanos} up to {@code until}. */
    void onRecorderNotRun(long until, long nanos) {
        recorderStops.add(new Interval(until - nanos, until));
    }

    /** Ends the trace: processes that are stopped count as stopped for ever. */
    void end() {
        stoppedWorkers.forEach(
                (worker, from) -> add(workerStops, worker, new Interval(from, Long.MAX_VALUE - TOLERANCE_NANOS)));
        stoppedGateways.forEach((gateway, from) -> add(gatewayStops, gateway, new Interval(from, Long.MAX_VALUE)));
    }

    private static void add(Map<String, List<Interval>> intervals, String name, Interval interval) {
        intervals.computeIfAbsent(name, absent -> new ArrayList<>()).add(interval);
    }

    private static List<Interval> intervalsOf(Map<String, List<Interval>> intervals, String name) {
        return intervals.getOrDefault(name, List.of());
    }

    /** Whether a gateway was down or stopped at some time of an interval, give or take the tolerance. */
    boolean wasGatewayStopped(String gateway, long from, long to) {
        return intervalsOf(gatewayStops, gateway).stream()
                .anyMatch(interval -> interval.from <= to + TOLERANCE_NANOS && interval.to >= from - TOLERANCE_NANOS);
    }

    /** The time at which a gateway that was down or stopped at {@code at} resumed; {@code at} itself if it was running. */
    long gatewayResumedAt(String gateway, long at) {
        return intervalsOf(gatewayStops, gateway).stream()
                .filter(interval -> interval.from <= at && at <= interval.to)
                .mapToLong(Interval::to)
                .findFirst()
                .orElse(at);
    }

    /** The time within an interval for which a gateway's threads were not scheduled; its actions may be late by as much. */
    long gatewayNotRunNanos(String gateway, long from, long to) {
        List<Interval> inOrder = intervalsOf(gatewayStalls, gateway).stream()
                .sorted(Comparator.comparingLong(Interval::from))
                .toList();
        long covered = 0;
        long reached = from;
        for (Interval interval : inOrder) {
            long begin = Math.max(interval.from, reached);
            long end = Math.min(interval.to, to);
            if (end > begin) {
                covered += end - begin;
                reached = end;
            }
        }
        return covered;
    }

    /**
     * Whether a worker's process was stopped at some time of an interval. It reads and records what arrives meanwhile when it resumes, so
     * the time of arrival is unknown.
     */
    boolean wasWorkerStopped(String worker, long from, long to) {
        return intervalsOf(workerStops, worker).stream()
                .anyMatch(interval -> interval.from <= to && interval.to + TOLERANCE_NANOS >= from);
    }

    /**
     * The earliest time at which a message that a worker recorded can have arrived: the time of the record or, if the process was stopped
     * just before, the beginning of that stall.
     */
    long earliestArrival(String worker, long recordedAt) {
        long earliest = recordedAt;
        boolean isExtended = true;
        while (isExtended) {
            long before = earliest;
            earliest = intervalsOf(workerStops, worker).stream()
                    .filter(interval -> interval.from < before && interval.to + TOLERANCE_NANOS >= before)
                    .mapToLong(Interval::from)
                    .min()
                    .orElse(before);
            isExtended = earliest < before;
        }
        return earliest;
    }

    /** Whether the recording process was stalled at some time of an interval: it recorded events of that time later or not at all. */
    boolean wasRecorderStopped(long from, long to) {
        return recorderStops.stream().anyMatch(interval -> interval.from <= to && interval.to >= from);
    }
}

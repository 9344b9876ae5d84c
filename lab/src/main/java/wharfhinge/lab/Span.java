package wharfhinge.lab;

import java.util.EnumMap;
import java.util.Map;

/** What happened in one span of time; calls count where they were first made, whatever became of them later. */
public final class Span {
    /** How a call ended, seen by its client. */
    public enum End {
        /** Served within the aim. */
        IN_TIME,
        /** Served late: it had waited for a load. */
        LATE_LOAD,
        /** Served late: it had waited at a worker. */
        LATE_QUEUE,
        /** Served late: the try that was served was not the first. */
        LATE_REPEAT,
        /** No try was taken. */
        REFUSED,
        /** No answer, or none within its patience. */
        FAILED
    }

    final double fromS;
    final double lengthS;
    final Map<End, Integer> ends = new EnumMap<>(End.class);
    final Map<String, Integer> asked = new java.util.TreeMap<>();
    int calls;
    int tries;
    int copies;
    int withCopy;
    int loads;
    int lastPushedOut;
    double bound;

    Span(double fromS, double lengthS) {
        this.fromS = fromS;
        this.lengthS = lengthS;
    }

    /** Seconds since the first counted call. */
    public double fromS() {
        return fromS;
    }

    /** Calls first made in it. */
    public int calls() {
        return calls;
    }

    /** Of a kind. */
    public int of(End end) {
        return ends.getOrDefault(end, 0);
    }

    /** Share that was served within the aim, 0 to 1. */
    public double inTime() {
        return of(End.IN_TIME) / (double) Math.max(1, calls);
    }

    /** The most of it that could be, by cores and by memory and store; see {@link StormRun}. */
    public double bound() {
        return bound;
    }

    /** Copies that began to load. */
    public int loads() {
        return loads;
    }

    /** Evictions after which no copy of the function stood anywhere. */
    public int lastPushedOut() {
        return lastPushedOut;
    }

    /** Copies at its end. */
    public int copies() {
        return copies;
    }

    /** Functions with a standing copy at its end. */
    public int withCopy() {
        return withCopy;
    }

    /** All tries made, further ones included. */
    public int tries() {
        return tries;
    }

    /** A row of a table. */
    public String row() {
        return String.format(
                java.util.Locale.ROOT,
                "| %4.0f | %5d | %5.1f%% | %5.1f%% | %4d | %4d | %4d | %4d | %4d | %3d / %-3d | %4d | %4d |",
                fromS,
                calls,
                100 * inTime(),
                100 * bound,
                of(End.LATE_LOAD),
                of(End.LATE_QUEUE),
                of(End.LATE_REPEAT),
                of(End.REFUSED),
                of(End.FAILED),
                copies,
                withCopy,
                loads,
                lastPushedOut);
    }

    /** Its head. */
    public static final String HEAD =
            "| from s | calls | in time | at most | late: load | queue | repeat | refused | failed | copies / functions "
                    + "| loads | last ones |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
}

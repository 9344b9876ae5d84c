package wharfhinge.lab;

import java.util.EnumMap;
import java.util.Map;

/** Statistics of one span of simulated time. A call counts in the span of its first attempt by the client. */
public final class Span {
    /** The result of a call as seen by its client. */
    public enum Result {
        /** Served within the latency objective. */
        IN_TIME,
        /** Served late because it waited for a load. */
        LATE_LOAD,
        /** Served late because it waited in the queue of a worker. */
        LATE_QUEUE,
        /** Served late by a retry of the client. */
        LATE_RETRY,
        /** All attempts of the client were rejected. */
        REJECTED,
        /** An attempt failed and none was served within the client's deadline. */
        FAILED
    }

    final double fromS;
    final double lengthS;
    final Map<Result, Integer> results = new EnumMap<>(Result.class);
    final Map<String, Integer> callsByFunction = new java.util.TreeMap<>();
    int calls;
    int attempts;
    int copies;
    int functionsWithCopy;
    int loads;
    int lastCopyEvictions;
    double bound;

    Span(double fromS, double lengthS) {
        this.fromS = fromS;
        this.lengthS = lengthS;
    }

    /** Start of the span in seconds since the start of the measured time. */
    public double fromS() {
        return fromS;
    }

    /** Number of calls whose first attempt was in this span. */
    public int calls() {
        return calls;
    }

    /** Number of calls with this result. */
    public int count(Result result) {
        return results.getOrDefault(result, 0);
    }

    /** Fraction of the calls that was served within the latency objective, 0 to 1. */
    public double inTime() {
        return count(Result.IN_TIME) / (double) Math.max(1, calls);
    }

    /** Upper bound of {@link #inTime} by cores, memory and store; see {@link StormRun}. */
    public double bound() {
        return bound;
    }

    /** Number of loads started. */
    public int loads() {
        return loads;
    }

    /** Number of evictions after which no worker had a loaded copy of the function. */
    public int lastCopyEvictions() {
        return lastCopyEvictions;
    }

    /** Number of copies at the end of the span, including those being loaded. */
    public int copies() {
        return copies;
    }

    /** Number of functions with a loaded copy at the end of the span. */
    public int functionsWithCopy() {
        return functionsWithCopy;
    }

    /** Number of attempts of clients for the calls of this span, retries included. */
    public int attempts() {
        return attempts;
    }

    /** Formats the span as a row of the table under {@link #HEAD}. */
    public String row() {
        return String.format(
                java.util.Locale.ROOT,
                "| %4.0f | %5d | %5.1f%% | %5.1f%% | %4d | %4d | %4d | %4d | %4d | %3d / %-3d | %4d | %4d |",
                fromS,
                calls,
                100 * inTime(),
                100 * bound,
                count(Result.LATE_LOAD),
                count(Result.LATE_QUEUE),
                count(Result.LATE_RETRY),
                count(Result.REJECTED),
                count(Result.FAILED),
                copies,
                functionsWithCopy,
                loads,
                lastCopyEvictions);
    }

    /** The header of the table. */
    public static final String HEAD =
            "| from s | calls | in time | at most | late: load | queue | repeat | refused | failed | copies / functions "
                    + "| loads | last ones |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
}

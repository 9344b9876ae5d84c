package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainScheduler.Counter;

/** Counters since the start of the process. */
final class ChainCounters {
    private final long[] values = new long[Counter.values().length];

    void increment(Counter counter) {
        values[counter.ordinal()]++;
    }

    long get(Counter counter) {
        return values[counter.ordinal()];
    }
}

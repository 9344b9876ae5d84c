package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainDecisions.Count;

/** Counters since the start of the process. */
final class ChainCounters {
    private final long[] values = new long[Count.values().length];

    void increment(Count counter) {
        values[counter.ordinal()]++;
    }

    long get(Count counter) {
        return values[counter.ordinal()];
    }
}

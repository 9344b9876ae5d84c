package wharfhinge.policy;

/**
 * A count that decays exponentially, to 1/e within one time window, so that it reflects the recent past. Not
 * thread-safe.
 */
class DecayingCounter {
    private final long windowNanos;
    private double count;
    private long updatedAt;

    DecayingCounter(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** The count decayed to {@code now}, which must not be before the time given last. */
    final double valueAt(long now) {
        count *= Math.exp((updatedAt - now) / (double) windowNanos);
        updatedAt = now;
        return count;
    }

    final void add(double amount, long now) {
        count = valueAt(now) + amount;
    }
}

package wharfhinge.decisions.admission;

import wharfhinge.decisions.admission.AdmissionController.CallEnd;

/**
 * Learns how many calls the fleet bears at once (additive increase, multiplicative decrease, as TCP): answers well within their
 * objective raise the limit, rejections for load and late answers cut it. Guards against overload of unknown size; costs some
 * rejections where answers are late for another reason.
 */
final class FleetConcurrencyLimit {
    private static final double INITIAL_LIMIT = 16;
    private static final double MIN_LIMIT = 8;
    private static final double MAX_LIMIT = 100_000;
    private static final double CUT_FACTOR = 0.9;
    /** An answer that takes less than this part of what counts as full shows that there is capacity to spare. */
    private static final double QUICK_PART = 0.64;
    /** Beyond this part of the limit, capacity is kept for tenants within their shares. */
    private static final double SHARED_PART = 0.9;
    /** An overload is felt by many calls at once, and cut for once. */
    private static final long CUT_INTERVAL_NANOS = 100_000_000L;

    private final double fullAtObjectiveShare;
    private double limit = INITIAL_LIMIT;
    private boolean hasBeenOverloaded;
    private long lastCutNanos = Long.MIN_VALUE / 2;

    /** A limit for a fleet that is full where answers take this part, 0 to 1, of their objective. */
    FleetConcurrencyLimit(double fullAtObjectiveShare) {
        this.fullAtObjectiveShare = fullAtObjectiveShare;
    }

    double limit() {
        return limit;
    }

    boolean isNearlyReached(int pending) {
        return pending >= SHARED_PART * limit;
    }

    /** A call ended; {@code pending} counts it still. */
    void onCallEnded(long nowNanos, int pending, CallEnd end, long tookNanos, long objectiveNanos) {
        boolean isAnswered = end == CallEnd.ANSWERED;
        if (end == CallEnd.REJECTED || isAnswered && tookNanos > fullAtObjectiveShare * objectiveNanos) {
            onOverload(nowNanos, pending);
        } else if (isAnswered && tookNanos < QUICK_PART * fullAtObjectiveShare * objectiveNanos) {
            onQuickAnswer(pending);
        }
    }

    private void onOverload(long nowNanos, int pending) {
        if (nowNanos - lastCutNanos >= CUT_INTERVAL_NANOS) {
            limit = Math.max(MIN_LIMIT, Math.min(limit, pending) * CUT_FACTOR);
            lastCutNanos = nowNanos;
        }
        hasBeenOverloaded = true;
    }

    /** Raises the limit, quickly until the first overload; an answer while half of it is unused tells nothing of it. */
    private void onQuickAnswer(int pending) {
        if (pending >= limit / 2) {
            limit = Math.min(MAX_LIMIT, limit + (hasBeenOverloaded ? 1 / limit : 1));
        }
    }
}

package wharfhinge.decisions.admission;

import wharfhinge.decisions.admission.AdmissionController.CallEnd;

/**
 * Learns how many calls the fleet can serve concurrently, by additive increase and multiplicative decrease as in TCP congestion
 * control: answers well within their objective raise the limit; rejections by the policy and late answers lower it. Protects
 * against overload of unknown size, at the cost of some needless rejections when answers are late for a reason other than load.
 */
final class FleetConcurrencyLimit {
    private static final double INITIAL_LIMIT = 16;
    private static final double MIN_LIMIT = 8;
    private static final double MAX_LIMIT = 100_000;
    private static final double DECREASE_FACTOR = 0.9;
    /** An answer faster than this fraction of the latency that indicates a full fleet shows spare capacity. */
    private static final double QUICK_ANSWER_FRACTION = 0.64;
    /** Above this fraction of the limit, the remaining capacity is reserved for tenants within their shares. */
    private static final double NEARLY_REACHED_FRACTION = 0.9;
    /** Minimum time between two decreases: an overload affects many calls at once but lowers the limit only once. */
    private static final long MIN_DECREASE_INTERVAL_NANOS = 100_000_000L;

    private final double fullAtObjectiveShare;
    private double limit = INITIAL_LIMIT;
    private boolean hasBeenOverloaded;
    /** Initially long ago; half of the minimum, so that the time since then does not overflow. */
    private long lastDecreaseNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a limit with its initial value.
     *
     * @param fullAtObjectiveShare fraction of the latency objective, 0 to 1, above which an answer indicates a full fleet
     */
    FleetConcurrencyLimit(double fullAtObjectiveShare) {
        this.fullAtObjectiveShare = fullAtObjectiveShare;
    }

    double limit() {
        return limit;
    }

    boolean isNearlyReached(int pending) {
        return pending >= NEARLY_REACHED_FRACTION * limit;
    }

    /** Records the end of a call; {@code pending} still includes it. */
    void onCallEnded(long nowNanos, int pending, CallEnd end, long latencyNanos, long objectiveNanos) {
        boolean isAnswered = end == CallEnd.ANSWERED;
        if (end == CallEnd.REJECTED || isAnswered && latencyNanos > fullAtObjectiveShare * objectiveNanos) {
            onOverload(nowNanos, pending);
        } else if (isAnswered && latencyNanos < QUICK_ANSWER_FRACTION * fullAtObjectiveShare * objectiveNanos) {
            onQuickAnswer(pending);
        }
    }

    private void onOverload(long nowNanos, int pending) {
        if (nowNanos - lastDecreaseNanos >= MIN_DECREASE_INTERVAL_NANOS) {
            limit = Math.max(MIN_LIMIT, Math.min(limit, pending) * DECREASE_FACTOR);
            lastDecreaseNanos = nowNanos;
        }
        hasBeenOverloaded = true;
    }

    /**
     * Raises the limit: by 1 for each quick answer until the first overload, after that by about 1 for as many quick
     * answers as the limit. While less than half of the limit is in use, a quick answer says nothing about it.
     */
    private void onQuickAnswer(int pending) {
        if (pending >= limit / 2) {
            limit = Math.min(MAX_LIMIT, limit + (hasBeenOverloaded ? 1 / limit : 1));
        }
    }
}

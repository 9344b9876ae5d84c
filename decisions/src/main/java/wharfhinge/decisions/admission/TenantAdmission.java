package wharfhinge.decisions.admission;

import java.util.OptionalLong;
import wharfhinge.decisions.admission.AdmissionController.Decision;
import wharfhinge.decisions.admission.AdmissionController.TenantMetrics;

/** Admission state of one tenant: its token bucket, its pending calls and its counters. */
final class TenantAdmission {
    private static final double NANOS_PER_SECOND = 1_000_000_000;
    /** How long a tenant counts as active after its last call. */
    private static final long ACTIVE_NANOS = 1_000_000_000L;

    private final String name;
    private final TenantQuota quota;
    private double tokens;
    private long refilledAtNanos;
    /** Initially long ago; half of the minimum, so that the time since then does not overflow. */
    private long lastCallNanos = Long.MIN_VALUE / 2;

    private int pending;
    private double meanPending;
    private long meanUpdatedAtNanos;
    private long admitted;
    private long rejectedByRate;
    private long rejectedByPending;
    private long rejectedByShare;

    TenantAdmission(String name, TenantQuota quota) {
        this.name = name;
        this.quota = quota;
        this.tokens = quota.burst();
    }

    double weight() {
        return quota.weight();
    }

    int pending() {
        return pending;
    }

    /** Exponential moving average of the pending calls, over about the time for which a tenant counts as active. */
    double meanPending() {
        return meanPending;
    }

    boolean isActive(long nowNanos) {
        return pending > 0 || nowNanos - lastCallNanos < ACTIVE_NANOS;
    }

    boolean isPendingLimitReached() {
        return quota.maxPending() > 0 && pending >= quota.maxPending();
    }

    void onArrival(long nowNanos) {
        lastCallNanos = nowNanos;
        updateMean(nowNanos);
    }

    /**
     * Takes a token from the bucket.
     *
     * @return nanoseconds until the next token; empty if there was a token, or the tenant has no rate limit
     */
    OptionalLong acquireToken(long nowNanos) {
        double rate = quota.requestsPerSecond();
        if (rate <= 0) {
            return OptionalLong.empty();
        }
        tokens = Math.min(quota.burst(), tokens + (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * rate);
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return OptionalLong.of((long) ((1 - tokens) / rate * NANOS_PER_SECOND));
        }
        tokens--;
        return OptionalLong.empty();
    }

    void onAdmitted() {
        pending++;
        admitted++;
    }

    void onRejected(Decision decision) {
        switch (decision) {
            case OVER_RATE -> rejectedByRate++;
            case TOO_MANY_PENDING -> rejectedByPending++;
            case OVER_SHARE -> rejectedByShare++;
            case ADMITTED -> throw new IllegalStateException("an admitted call was counted as rejected");
        }
    }

    void onCallEnded(long nowNanos) {
        updateMean(nowNanos);
        pending--;
    }

    /** Adds the time since the last update, with the current number of pending calls, to the moving average. */
    private void updateMean(long nowNanos) {
        double negativeElapsed = (meanUpdatedAtNanos - nowNanos) / (double) ACTIVE_NANOS;
        meanPending += (1 - Math.exp(negativeElapsed)) * (pending - meanPending);
        meanUpdatedAtNanos = nowNanos;
    }

    TenantMetrics metrics() {
        return new TenantMetrics(name, pending, admitted, rejectedByRate, rejectedByPending, rejectedByShare);
    }
}

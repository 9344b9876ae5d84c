package wharfhinge.decisions.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lets calls in or refuses them before anything is done for them, by tenant: a rate (token bucket), a number open, and where the
 * tenants together want more than the fleet bears, shares by weight. What the fleet bears is learned: a limit on calls open at once
 * that is raised by answers in time and cut by refusals for load and late answers (additive raise, multiplicative cut, as TCP's). Beyond
 * it a tenant over its share is refused while another is active; a tenant within its share is let in whatever the others do, so that a
 * flood costs them nothing; below it what one leaves the others may use. Alone, a tenant is never refused for its share: then the decisions behind
 * the door refuse what is too much.
 *
 * <p>Counts nothing that the decisions behind it count: a call refused here is never told to them, and their refusals give no token back.
 * A chain is one call; its steps are not asked of. Tenants that the settings do not name share one entry. One thread at a time.
 */
public final class AdmissionController {
    /** The entry of calls without a tenant, or of one that is not named. */
    public static final String OTHERS = "";

    /** What is said to a call. */
    public enum Decision {
        ADMITTED,
        OVER_RATE,
        TOO_MANY_PENDING,
        OVER_SHARE
    }

    /** How a call ended. */
    public enum CallEnd {
        /** A worker's answer. */
        ANSWERED,
        /** Refused by the decisions behind the door. */
        REFUSED,
        /** Neither: it failed, its client left. */
        OTHERWISE
    }

    /** An answer with when to come back, nanoseconds; 0 where it was admitted. */
    public record Verdict(Decision decision, long retryAfterNanos) {}

    /** A tenant's figures. */
    public record TenantMetrics(
            String tenant,
            int pending,
            long admitted,
            long rejectedByRate,
            long rejectedByPending,
            long rejectedByShare) {}

    private static final Verdict ADMITTED = new Verdict(Decision.ADMITTED, 0);
    private static final double LIMIT_START = 16;
    private static final double LIMIT_LEAST = 8;
    private static final double LIMIT_MOST = 100_000;
    private static final double CUT = 0.9;
    private static final double QUICK = 0.64; // of what tells that it is full: there is room
    private static final double SLACK = 0.9; // of the limit: beyond, room is kept for those within their shares
    private static final double CHANCE = 3; // deviations
    private static final long CUT_PAUSE = 100_000_000L; // one crowd is felt by many calls, and cut for once
    private static final long ACTIVE = 1_000_000_000L; // a tenant counts for so long after its last call
    private static final long SECOND = 1_000_000_000L;
    private static final long SHARE_WAIT = 100_000_000L; // about when some of what is open will have ended

    private static final class Tenant {
        private final String name;
        private final TenantQuota limit;
        private double tokens;
        private long filledAt;
        private long lastCall = Long.MIN_VALUE / 2;
        private int open;
        private double meanOpen; // smoothed
        private long settledAt;
        private long admitted;
        private long refusedRate;
        private long refusedOpen;
        private long refusedShare;

        Tenant(String name, TenantQuota limit) {
            this.name = name;
            this.limit = limit;
            this.tokens = limit.burst();
        }

        /** Takes what was open since the last time into the mean. */
        private void settle(long now) {
            meanOpen += (1 - Math.exp((settledAt - now) / (double) ACTIVE)) * (open - meanOpen);
            settledAt = now;
        }
    }

    private final Map<String, Tenant> tenants = new LinkedHashMap<>();
    private final double fullAt;
    private int open;
    private double limit = LIMIT_START;
    private boolean crowdedOnce;
    private long cutAt = Long.MIN_VALUE / 2;

    /** A door; its tenants must hold {@link #OTHERS}. */
    public AdmissionController(AdmissionSettings settings) {
        fullAt = settings.fullAtObjectiveShare();
        settings.tenants().forEach((name, l) -> tenants.put(name, new Tenant(name, l)));
        if (!tenants.containsKey(OTHERS)) {
            throw new IllegalArgumentException("no entry for tenants that are not named");
        }
    }

    /** The entry that a tenant goes by; null counts as none. */
    private Tenant of(String tenant) {
        Tenant known = tenant == null ? null : tenants.get(tenant);
        return known == null ? tenants.get(OTHERS) : known;
    }

    /** A call comes; where it is admitted, one {@link #onCallEnded} is owed. */
    public Verdict onArrival(long now, String tenant) {
        Tenant t = of(tenant);
        t.lastCall = now;
        t.settle(now);
        if (t.limit.maxPending() > 0 && t.open >= t.limit.maxPending()) {
            t.refusedOpen++;
            return new Verdict(Decision.TOO_MANY_PENDING, SHARE_WAIT);
        }
        if (open >= SLACK * limit && t.open + 1 > allowance(t, now) && !alone(t, now)) {
            t.refusedShare++;
            return new Verdict(Decision.OVER_SHARE, SHARE_WAIT);
        }
        if (t.limit.requestsPerSecond() > 0) { // last, so that a call refused for another reason costs no token
            t.tokens = Math.min(
                    t.limit.burst(), t.tokens + (now - t.filledAt) / (double) SECOND * t.limit.requestsPerSecond());
            t.filledAt = now;
            if (t.tokens < 1) {
                t.refusedRate++;
                return new Verdict(Decision.OVER_RATE, (long) ((1 - t.tokens) / t.limit.requestsPerSecond() * SECOND));
            }
            t.tokens--;
        }
        t.open++;
        open++;
        t.admitted++;
        return ADMITTED;
    }

    private static boolean active(Tenant t, long now) {
        return t.open > 0 || now - t.lastCall < ACTIVE;
    }

    /** Calls that a tenant may have open of those that the fleet bears, among the tenants that are active. */
    private double shareOf(Tenant t, long now) {
        double weights = 0;
        for (Tenant other : tenants.values()) {
            weights += active(other, now) ? other.limit.weight() : 0;
        }
        return Math.max(1, limit * t.limit.weight() / weights);
    }

    /** Beyond its share by what chance makes of calls that come one by one, where it keeps within it on average. */
    private double allowance(Tenant t, long now) {
        double share = shareOf(t, now);
        return t.meanOpen <= SLACK * share ? share + CHANCE * Math.sqrt(share) : share;
    }

    private boolean alone(Tenant t, long now) {
        for (Tenant other : tenants.values()) {
            if (other != t && active(other, now)) {
                return false;
            }
        }
        return true;
    }

    /** A call that was admitted ended, so long after it came; {@code aimNs} is what its class wants. */
    public void onCallEnded(long now, String tenant, CallEnd how, long tookNanos, long aimNanos) {
        Tenant t = of(tenant);
        t.settle(now);
        t.open--;
        boolean near = open >= limit / 2; // else the answer tells nothing of the limit
        open--;
        if (how == CallEnd.REFUSED || how == CallEnd.ANSWERED && tookNanos > fullAt * aimNanos) {
            if (now - cutAt >= CUT_PAUSE) {
                limit = Math.max(LIMIT_LEAST, Math.min(limit, open + 1) * CUT);
                cutAt = now;
            }
            crowdedOnce = true;
        } else if (how == CallEnd.ANSWERED && tookNanos < QUICK * fullAt * aimNanos && near) {
            limit = Math.min(LIMIT_MOST, limit + (crowdedOnce ? 1 / limit : 1));
        }
    }

    /** Calls open at once that the fleet is believed to bear. */
    public double limit() {
        return limit;
    }

    /** What was counted, by tenant. */
    public List<TenantMetrics> metrics() {
        List<TenantMetrics> all = new ArrayList<>();
        tenants.values()
                .forEach(t -> all.add(
                        new TenantMetrics(t.name, t.open, t.admitted, t.refusedRate, t.refusedOpen, t.refusedShare)));
        return all;
    }
}

package wharfhinge.decisions.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.admission.AdmissionController.CallEnd;
import wharfhinge.decisions.admission.AdmissionController.Decision;

/** Tests the controller alone and in front of a simulated fleet with a fixed number of servers. */
class AdmissionControllerTest {
    private static final long MILLIS = 1_000_000L;

    private static AdmissionController newController(Object... namesAndQuotas) {
        Map<String, TenantQuota> quotas = new LinkedHashMap<>();
        for (int i = 0; i < namesAndQuotas.length; i += 2) {
            quotas.put((String) namesAndQuotas[i], (TenantQuota) namesAndQuotas[i + 1]);
        }
        quotas.putIfAbsent(AdmissionController.DEFAULT_TENANT, new TenantQuota(1, 0, 0, 0));
        return new AdmissionController(
                new AdmissionSettings(quotas, AdmissionSettings.DEFAULT_FULL_AT_OBJECTIVE_SHARE));
    }

    @Test
    void callOverRate_isRejectedUntilNextToken() {
        AdmissionController controller = newController("a", new TenantQuota(1, 10, 2, 0));
        assertEquals(Decision.ADMITTED, controller.onArrival(0, "a").decision());
        assertEquals(Decision.ADMITTED, controller.onArrival(0, "a").decision());
        AdmissionController.Verdict third = controller.onArrival(0, "a");
        assertEquals(Decision.OVER_RATE, third.decision());
        assertEquals(100 * MILLIS, third.retryAfterNanos());
        assertEquals(Decision.ADMITTED, controller.onArrival(100 * MILLIS, "a").decision());
        assertEquals(
                Decision.ADMITTED,
                controller.onArrival(100 * MILLIS, "b").decision(),
                "another tenant has no rate limit");
    }

    @Test
    void pendingCalls_areBoundedUntilTheyEnd() {
        AdmissionController controller = newController("a", new TenantQuota(1, 0, 0, 1));
        assertEquals(Decision.ADMITTED, controller.onArrival(0, "a").decision());
        assertEquals(Decision.TOO_MANY_PENDING, controller.onArrival(0, "a").decision());
        controller.onCallEnded(MILLIS, "a", CallEnd.OTHER, MILLIS, MILLIS);
        assertEquals(Decision.ADMITTED, controller.onArrival(MILLIS, "a").decision());
    }

    @Test
    void onlyActiveTenant_isNeverRejectedForItsShare() {
        AdmissionController controller =
                newController("a", new TenantQuota(1, 0, 0, 0), "b", new TenantQuota(1, 0, 0, 0));
        for (int i = 0; i < 5000; i++) {
            assertEquals(Decision.ADMITTED, controller.onArrival(0, "a").decision());
        }
        assertEquals(
                Decision.ADMITTED,
                controller.onArrival(0, "b").decision(),
                "another tenant is admitted whatever the first one has pending");
    }

    @Test
    void unnamedTenants_shareOneEntry() {
        AdmissionController controller = newController("", new TenantQuota(1, 0, 0, 2));
        controller.onArrival(0, "x");
        controller.onArrival(0, null);
        assertEquals(Decision.TOO_MANY_PENDING, controller.onArrival(0, "y").decision());
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(new AdmissionSettings(Map.of("a", new TenantQuota(1, 0, 0, 0)), 0.7)));
        assertThrows(IllegalArgumentException.class, () -> new TenantQuota(0, 0, 0, 0));
    }

    /** An answer at 40 % of its objective lowers the limit if the fleet counts as full at 30 %, but not by default. */
    @Test
    void fullAtObjectiveShare_decidesWhatCutsTheLimit() {
        for (double fullAt : new double[] {0.3, AdmissionSettings.DEFAULT_FULL_AT_OBJECTIVE_SHARE}) {
            AdmissionController controller = new AdmissionController(new AdmissionSettings(
                    Map.of(AdmissionController.DEFAULT_TENANT, new TenantQuota(1, 0, 0, 0)), fullAt));
            double before = controller.limit();
            for (int i = 0; i < before; i++) {
                controller.onArrival(0, null);
            }
            controller.onCallEnded(40 * MILLIS, null, CallEnd.ANSWERED, 40 * MILLIS, 100 * MILLIS);
            assertEquals(fullAt < 0.4, controller.limit() < before);
        }
    }

    private record PendingCall(long endsAt, String tenant, long arrivedAt) {}

    /**
     * Simulates servers with one queue that take 50 ms per call; answers after 200 ms are late.
     *
     * @return number of answers in time in the second half of the run, by tenant
     */
    private static Map<String, Integer> simulate(
            AdmissionController controller, Map<String, Double> arrivalsPerSecond, int servers, int seconds) {
        Random random = new Random(5);
        Map<String, Integer> inTime = new HashMap<>();
        PriorityQueue<PendingCall> ends =
                new PriorityQueue<>((first, second) -> Long.compare(first.endsAt, second.endsAt));
        PriorityQueue<Long> freeAt = new PriorityQueue<>();
        for (int i = 0; i < servers; i++) {
            freeAt.add(0L);
        }
        for (long now = 0; now < seconds * 1000 * MILLIS; now += MILLIS) {
            while (!ends.isEmpty() && ends.peek().endsAt <= now) {
                PendingCall due = ends.poll();
                boolean isInTime = due.endsAt - due.arrivedAt <= 200 * MILLIS;
                controller.onCallEnded(now, due.tenant, CallEnd.ANSWERED, due.endsAt - due.arrivedAt, 200 * MILLIS);
                if (isInTime && now > seconds * 500 * MILLIS) {
                    inTime.merge(due.tenant, 1, Integer::sum);
                }
            }
            for (Map.Entry<String, Double> arrivalRate : arrivalsPerSecond.entrySet()) {
                double expectedArrivals = arrivalRate.getValue() / 1000;
                for (; random.nextDouble() < expectedArrivals; expectedArrivals--) {
                    if (controller.onArrival(now, arrivalRate.getKey()).decision() == Decision.ADMITTED) {
                        long startsAt = Math.max(now, freeAt.poll());
                        freeAt.add(startsAt + 50 * MILLIS);
                        ends.add(new PendingCall(startsAt + 50 * MILLIS, arrivalRate.getKey(), now));
                    }
                }
            }
        }
        return inTime;
    }

    @Test
    void flood_costsOtherTenantsNothing() {
        Map<String, Double> load = new LinkedHashMap<>(Map.of("quiet", 240.0));
        int alone = simulate(
                        newController("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)),
                        load,
                        40,
                        20)
                .get("quiet");
        load.put("flood", 3600.0); // the fleet can serve 800 calls per second
        Map<String, Integer> both = simulate(
                newController("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)),
                load,
                40,
                20);
        assertTrue(both.get("quiet") >= 0.97 * alone, both + " against " + alone);
        assertTrue(
                both.get("flood") >= 0.8 * 560 * 10,
                "the flooding tenant gets most of the remaining capacity: " + both);
    }

    @Test
    void shares_followWeights() {
        Map<String, Double> load = new LinkedHashMap<>();
        load.put("one", 2000.0);
        load.put("three", 2000.0);
        Map<String, Integer> answersInTime = simulate(
                newController("one", new TenantQuota(1, 0, 0, 0), "three", new TenantQuota(3, 0, 0, 0)), load, 40, 30);
        double ratio = answersInTime.get("three") / (double) answersInTime.get("one");
        assertTrue(ratio > 2.4 && ratio < 3.6, "expected a ratio of about three to one: " + answersInTime);
    }

    /** The pending counts equal the calls admitted and not yet ended, and the limits hold. */
    @Property(tries = 200)
    void randomCalls_keepBoundsAndPendingCounts(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionController controller =
                newController("a", new TenantQuota(2, 50, 5, 0), "b", new TenantQuota(1, 0, 0, 7));
        String[] tenants = {"a", "b", "c", null};
        Map<String, Integer> pendingCalls = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(30) * MILLIS;
            String tenant = tenants[random.nextInt(tenants.length)];
            String quotaName = tenant == null || tenant.equals("c") ? "" : tenant;
            if (random.nextInt(3) > 0) {
                if (controller.onArrival(now, tenant).decision() == Decision.ADMITTED) {
                    pendingCalls.merge(quotaName, 1, Integer::sum);
                }
            } else if (pendingCalls.getOrDefault(quotaName, 0) > 0) {
                pendingCalls.merge(quotaName, -1, Integer::sum);
                controller.onCallEnded(
                        now, tenant, CallEnd.values()[random.nextInt(3)], random.nextInt(300) * MILLIS, 200 * MILLIS);
            }
            for (AdmissionController.TenantMetrics metrics : controller.metrics()) {
                assertEquals(pendingCalls.getOrDefault(metrics.tenant(), 0), metrics.pending());
            }
            assertTrue(pendingCalls.getOrDefault("b", 0) <= 7);
            assertTrue(controller.limit() >= 8);
        }
    }
}

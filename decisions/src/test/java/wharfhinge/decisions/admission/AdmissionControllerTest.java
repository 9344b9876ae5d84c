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

/** The controller alone, and before a simulated fleet of so many servers. */
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
        assertEquals(Decision.ADMITTED, controller.onArrival(100 * MILLIS, "b").decision(), "another has no rate");
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
                "and another is let in whatever the first has open");
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

    /** An answer after four tenths of its objective cuts the limit where three tenths count as full, and not by default. */
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

    private record PendingCall(long at, String tenant, long arrivedAt) {}

    /** So many servers with 50 ms a call and one queue; answers after 200 ms are late. Gives the answers in time of the last half, by tenant. */
    private static Map<String, Integer> play(
            AdmissionController controller, Map<String, Double> arrivalsPerSecond, int servers, int seconds) {
        Random random = new Random(5);
        Map<String, Integer> inTime = new HashMap<>();
        PriorityQueue<PendingCall> ends = new PriorityQueue<>((x, y) -> Long.compare(x.at, y.at));
        PriorityQueue<Long> free = new PriorityQueue<>();
        for (int i = 0; i < servers; i++) {
            free.add(0L);
        }
        for (long now = 0; now < seconds * 1000 * MILLIS; now += MILLIS) {
            while (!ends.isEmpty() && ends.peek().at <= now) {
                PendingCall due = ends.poll();
                boolean good = due.at - due.arrivedAt <= 200 * MILLIS;
                controller.onCallEnded(now, due.tenant, CallEnd.ANSWERED, due.at - due.arrivedAt, 200 * MILLIS);
                if (good && now > seconds * 500 * MILLIS) {
                    inTime.merge(due.tenant, 1, Integer::sum);
                }
            }
            for (Map.Entry<String, Double> t : arrivalsPerSecond.entrySet()) {
                double want = t.getValue() / 1000;
                for (; random.nextDouble() < want; want--) {
                    if (controller.onArrival(now, t.getKey()).decision() == Decision.ADMITTED) {
                        long begins = Math.max(now, free.poll());
                        free.add(begins + 50 * MILLIS);
                        ends.add(new PendingCall(begins + 50 * MILLIS, t.getKey(), now));
                    }
                }
            }
        }
        return inTime;
    }

    @Test
    void flood_costsOtherTenantsNothing() {
        Map<String, Double> load = new LinkedHashMap<>(Map.of("quiet", 240.0));
        int alone = play(
                        newController("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)),
                        load,
                        40,
                        20)
                .get("quiet");
        load.put("flood", 3600.0); // the fleet bears 800 a second
        Map<String, Integer> both = play(
                newController("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)),
                load,
                40,
                20);
        assertTrue(both.get("quiet") >= 0.97 * alone, both + " against " + alone);
        assertTrue(both.get("flood") >= 0.8 * 560 * 10, "and the flood gets most of the rest: " + both);
    }

    @Test
    void shares_followWeights() {
        Map<String, Double> load = new LinkedHashMap<>();
        load.put("one", 2000.0);
        load.put("three", 2000.0);
        Map<String, Integer> got = play(
                newController("one", new TenantQuota(1, 0, 0, 0), "three", new TenantQuota(3, 0, 0, 0)), load, 40, 30);
        double ratio = got.get("three") / (double) got.get("one");
        assertTrue(ratio > 2.4 && ratio < 3.6, "three to one: " + got);
    }

    /** Pending counts are the calls admitted and not ended; the bounds hold. */
    @Property(tries = 200)
    void randomCalls_keepBoundsAndPendingCounts(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionController controller =
                newController("a", new TenantQuota(2, 50, 5, 0), "b", new TenantQuota(1, 0, 0, 7));
        String[] names = {"a", "b", "c", null};
        Map<String, Integer> open = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(30) * MILLIS;
            String name = names[random.nextInt(names.length)];
            String entry = name == null || name.equals("c") ? "" : name;
            if (random.nextInt(3) > 0) {
                if (controller.onArrival(now, name).decision() == Decision.ADMITTED) {
                    open.merge(entry, 1, Integer::sum);
                }
            } else if (open.getOrDefault(entry, 0) > 0) {
                open.merge(entry, -1, Integer::sum);
                controller.onCallEnded(
                        now, name, CallEnd.values()[random.nextInt(3)], random.nextInt(300) * MILLIS, 200 * MILLIS);
            }
            for (AdmissionController.TenantMetrics metrics : controller.metrics()) {
                assertEquals(open.getOrDefault(metrics.tenant(), 0), metrics.pending());
            }
            assertTrue(open.getOrDefault("b", 0) <= 7);
            assertTrue(controller.limit() >= 8);
        }
    }
}

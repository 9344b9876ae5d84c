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

/** The door by itself, and before a fleet of so many servers; simulated time. */
class DoorDecisionsTest {
    private static final long MS = 1_000_000L;

    private static AdmissionController door(Object... namesAndLimits) {
        Map<String, TenantQuota> limits = new LinkedHashMap<>();
        for (int i = 0; i < namesAndLimits.length; i += 2) {
            limits.put((String) namesAndLimits[i], (TenantQuota) namesAndLimits[i + 1]);
        }
        limits.putIfAbsent(AdmissionController.OTHERS, new TenantQuota(1, 0, 0, 0));
        return new AdmissionController(new AdmissionSettings(limits, AdmissionSettings.USUAL_FULL_AT));
    }

    @Test
    void aRateIsKeptAndAdviceIsWhenTheNextTokenComes() {
        AdmissionController door = door("a", new TenantQuota(1, 10, 2, 0));
        assertEquals(Decision.ADMITTED, door.onArrival(0, "a").decision());
        assertEquals(Decision.ADMITTED, door.onArrival(0, "a").decision());
        AdmissionController.Verdict third = door.onArrival(0, "a");
        assertEquals(Decision.OVER_RATE, third.decision());
        assertEquals(100 * MS, third.retryAfterNanos());
        assertEquals(Decision.ADMITTED, door.onArrival(100 * MS, "a").decision());
        assertEquals(Decision.ADMITTED, door.onArrival(100 * MS, "b").decision(), "another has no rate");
    }

    @Test
    void openCallsAreBoundedAndGivenBack() {
        AdmissionController door = door("a", new TenantQuota(1, 0, 0, 1));
        assertEquals(Decision.ADMITTED, door.onArrival(0, "a").decision());
        assertEquals(Decision.TOO_MANY_PENDING, door.onArrival(0, "a").decision());
        door.onCallEnded(MS, "a", CallEnd.OTHERWISE, MS, MS);
        assertEquals(Decision.ADMITTED, door.onArrival(MS, "a").decision());
    }

    @Test
    void aloneATenantIsNeverRefusedForItsShare() {
        AdmissionController door = door("a", new TenantQuota(1, 0, 0, 0), "b", new TenantQuota(1, 0, 0, 0));
        for (int i = 0; i < 5000; i++) {
            assertEquals(Decision.ADMITTED, door.onArrival(0, "a").decision());
        }
        assertEquals(
                Decision.ADMITTED,
                door.onArrival(0, "b").decision(),
                "and another is let in whatever the first has open");
    }

    @Test
    void tenantsThatAreNotNamedShareOneEntry() {
        AdmissionController door = door("", new TenantQuota(1, 0, 0, 2));
        door.onArrival(0, "x");
        door.onArrival(0, null);
        assertEquals(Decision.TOO_MANY_PENDING, door.onArrival(0, "y").decision());
        assertThrows(
                IllegalArgumentException.class,
                () -> new AdmissionController(new AdmissionSettings(Map.of("a", new TenantQuota(1, 0, 0, 0)), 0.7)));
        assertThrows(IllegalArgumentException.class, () -> new TenantQuota(0, 0, 0, 0));
    }

    /** Four tenths of the aim are full where so much is told, and are room where the usual is. */
    @Test
    void whatCountsAsFullIsTold() {
        for (double fullAt : new double[] {0.3, AdmissionSettings.USUAL_FULL_AT}) {
            AdmissionController door = new AdmissionController(
                    new AdmissionSettings(Map.of(AdmissionController.OTHERS, new TenantQuota(1, 0, 0, 0)), fullAt));
            double before = door.limit();
            for (int i = 0; i < before; i++) {
                door.onArrival(0, null);
            }
            door.onCallEnded(40 * MS, null, CallEnd.ANSWERED, 40 * MS, 100 * MS);
            assertEquals(fullAt < 0.4, door.limit() < before);
        }
    }

    private record Due(long at, String tenant, long began) {}

    /** So many servers of 50 ms each; calls wait in line, and over 200 ms are late. Gives in-time answers of each in the last half. */
    private static Map<String, Integer> play(
            AdmissionController door, Map<String, Double> perS, int servers, int seconds) {
        Random random = new Random(5);
        Map<String, Integer> inTime = new HashMap<>();
        PriorityQueue<Due> ends = new PriorityQueue<>((x, y) -> Long.compare(x.at, y.at));
        PriorityQueue<Long> free = new PriorityQueue<>();
        for (int i = 0; i < servers; i++) {
            free.add(0L);
        }
        for (long now = 0; now < seconds * 1000 * MS; now += MS) {
            while (!ends.isEmpty() && ends.peek().at <= now) {
                Due d = ends.poll();
                boolean good = d.at - d.began <= 200 * MS;
                door.onCallEnded(now, d.tenant, CallEnd.ANSWERED, d.at - d.began, 200 * MS);
                if (good && now > seconds * 500 * MS) {
                    inTime.merge(d.tenant, 1, Integer::sum);
                }
            }
            for (Map.Entry<String, Double> t : perS.entrySet()) {
                double want = t.getValue() / 1000;
                for (; random.nextDouble() < want; want--) {
                    if (door.onArrival(now, t.getKey()).decision() == Decision.ADMITTED) {
                        long begins = Math.max(now, free.poll());
                        free.add(begins + 50 * MS);
                        ends.add(new Due(begins + 50 * MS, t.getKey(), now));
                    }
                }
            }
        }
        return inTime;
    }

    @Test
    void aFloodCostsTheOthersNothing() {
        Map<String, Double> load = new LinkedHashMap<>(Map.of("quiet", 240.0));
        int alone = play(door("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)), load, 40, 20)
                .get("quiet");
        load.put("flood", 3600.0); // the fleet bears 800 a second
        Map<String, Integer> both =
                play(door("quiet", new TenantQuota(1, 0, 0, 0), "flood", new TenantQuota(1, 0, 0, 0)), load, 40, 20);
        assertTrue(both.get("quiet") >= 0.97 * alone, both + " against " + alone);
        assertTrue(both.get("flood") >= 0.8 * 560 * 10, "and the flood gets most of the rest: " + both);
    }

    @Test
    void sharesGoByWeight() {
        Map<String, Double> load = new LinkedHashMap<>();
        load.put("one", 2000.0);
        load.put("three", 2000.0);
        Map<String, Integer> got =
                play(door("one", new TenantQuota(1, 0, 0, 0), "three", new TenantQuota(3, 0, 0, 0)), load, 40, 30);
        double ratio = got.get("three") / (double) got.get("one");
        assertTrue(ratio > 2.4 && ratio < 3.6, "three to one: " + got);
    }

    /** Whatever comes: open counts are those admitted and not ended, bounds hold, a tenant within its share is let in. */
    @Property(tries = 200)
    void storiesKeepTheBounds(@ForAll long seed) {
        Random story = new Random(seed);
        AdmissionController door = door("a", new TenantQuota(2, 50, 5, 0), "b", new TenantQuota(1, 0, 0, 7));
        String[] names = {"a", "b", "c", null};
        Map<String, Integer> open = new HashMap<>();
        long now = 0;
        for (int i = 0; i < 400; i++) {
            now += story.nextInt(30) * MS;
            String name = names[story.nextInt(names.length)];
            String entry = name == null || name.equals("c") ? "" : name;
            if (story.nextInt(3) > 0) {
                if (door.onArrival(now, name).decision() == Decision.ADMITTED) {
                    open.merge(entry, 1, Integer::sum);
                }
            } else if (open.getOrDefault(entry, 0) > 0) {
                open.merge(entry, -1, Integer::sum);
                door.onCallEnded(now, name, CallEnd.values()[story.nextInt(3)], story.nextInt(300) * MS, 200 * MS);
            }
            for (AdmissionController.TenantMetrics f : door.metrics()) {
                assertEquals(open.getOrDefault(f.tenant(), 0), f.pending());
            }
            assertTrue(open.getOrDefault("b", 0) <= 7);
            assertTrue(door.limit() >= 8);
        }
    }
}

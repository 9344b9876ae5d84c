package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A group of dispatchers before one cold worker that all calls want; counts what they send it in every window. */
final class ColdBudget {
    private static final List<String> WARM = List.of("b", "c", "d", "e");
    private static final String COLD = "x";
    private static final int BEFORE_MS = 6000; // so that each dispatcher knows how fast its calls are answered
    private static final int IDLE_MS = 4000;
    private static final int WANTED_MS = 2000;
    private static final double COLD_FROM = 0.2; // as Recorder's settings have it
    private static final double WARM_AFTER_MS = 10_000;
    private static final double MULTIPLE = 2;
    private static final int WINDOW_MS = 1000;
    private static final double BURST = 1.5; // as much as before comes while it is wanted
    private static final int TICK_MS = 20;
    private static final List<String> WANTED = coldFunctions();

    private ColdBudget() {}

    /**
     * Plays it.
     *
     * @param allowed N of the window in which the cold worker is wanted first
     * @param idle    whether it is wanted only some seconds after its start
     * @param weight  told of the warm workers, each of which bears so many times what the cold one, of weight 1, will
     * @param uneven  deviation of the logarithm of the dispatchers' shares of the calls; 0 for like shares
     */
    static void assertKept(int dispatchers, int allowed, boolean idle, double weight, double uneven, long seed) {
        double firstMillis = idle ? IDLE_MS + WINDOW_MS : WINDOW_MS;
        double perWorker =
                allowed / (MULTIPLE * share(firstMillis)); // calls in a window that the worker bears once it is warm
        double callsPerMillis = perWorker * (WARM.size() * weight + 1) / WINDOW_MS;
        Random random = new Random(seed);
        double[] shares = shares(dispatchers, uneven, random);
        ArrayDeque<Integer> sent = new ArrayDeque<>(); // when, since the start, ms
        List<Recorder> group = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            Recorder t = new Recorder(Recorder.among(dispatchers, false, true), seed * 10_000 + i);
            t.memoryMb = 0; // so that none pushes out another
            t.weight = weight;
            t.fleet(WARM.toArray(new String[0]));
            group.add(t);
        }
        int startMillis = BEFORE_MS;
        int wantedMillis = startMillis + (idle ? IDLE_MS : 0);
        double[] due = new double[dispatchers];
        int[] next = new int[dispatchers];
        for (int ms = 0; ms < wantedMillis + WANTED_MS; ms += TICK_MS) {
            for (int i = 0; i < dispatchers; i++) {
                Recorder t = group.get(i);
                t.lines.clear();
                if (ms == startMillis) {
                    t.weight = 1;
                    t.change(COLD, Availability.UP, t.now);
                }
                for (due[i] += (ms < wantedMillis ? 1 : BURST)
                                * shares[i]
                                * callsPerMillis
                                * TICK_MS
                                * 2
                                * random.nextDouble();
                        due[i] >= 1;
                        due[i]--) {
                    String call = t.query(ms < wantedMillis ? "f" : WANTED.get(next[i]++ % WANTED.size()));
                    if (COLD.equals(t.sentTo(call))) {
                        sent.add(ms - startMillis);
                    }
                    t.served(call);
                }
                t.pass(TICK_MS);
            }
            int now = ms - startMillis;
            while (!sent.isEmpty() && sent.peek() <= now - WINDOW_MS) {
                sent.poll();
            }
            double n = MULTIPLE * share(Math.max(now, 0)) * perWorker;
            double most = n + (n < 30 ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2);
            assertTrue(
                    sent.size() <= most,
                    dispatchers + " dispatchers, seed " + seed + ", weight " + weight + ", uneven " + uneven + ", "
                            + now + " ms after the start: " + sent.size() + " in a window, allowed " + n + " and "
                            + (most - n) + " by chance");
        }
    }

    private static double share(double ageMillis) {
        return COLD_FROM + (1 - COLD_FROM) * Math.min(1, ageMillis / WARM_AFTER_MS);
    }

    private static double[] shares(int dispatchers, double uneven, Random random) {
        double[] shares = random.doubles(dispatchers).map(u -> 1).toArray();
        double sum = 0;
        for (int i = 0; i < dispatchers; i++) {
            shares[i] = Math.exp(uneven * random.nextGaussian());
            sum += shares[i];
        }
        for (int i = 0; i < dispatchers; i++) {
            shares[i] /= sum;
        }
        return shares;
    }

    /** Functions that a dispatcher sends to the cold worker first. */
    private static List<String> coldFunctions() {
        List<String> found = new ArrayList<>();
        Recorder t = new Recorder(Recorder.among(1, false, true));
        t.memoryMb = 0;
        t.fleet("b", "c", "d", "e", COLD);
        for (int i = 0; found.size() < 100; i++) {
            String call = t.query("g" + i);
            if (COLD.equals(t.sentTo(call))) {
                found.add("g" + i);
            }
            t.served(call);
            t.lines.clear();
        }
        return found;
    }
}

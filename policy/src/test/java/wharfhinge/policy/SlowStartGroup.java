package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A group of dispatchers whose requests all prefer one worker that warms up; counts what they send it in every window.
 */
final class SlowStartGroup {
    private static final List<String> WARM = List.of("b", "c", "d", "e");
    private static final String WARMING_UP = "x";
    private static final int BEFORE_MS = 6000; // so that each dispatcher knows how fast its requests are answered
    private static final int IDLE_MS = 4000;
    private static final int PREFERRED_MS = 2000;
    private static final double SLOW_START_FROM = 0.2; // as FakeDispatcherHost's settings have it
    private static final double SLOW_START_MS = 10_000;
    private static final double OVERLOAD_FACTOR = 2;
    private static final int WINDOW_MS = 1000;
    private static final double BURST = 1.5; // times as many requests come while they prefer it
    private static final int TICK_MS = 20;
    private static final List<String> PREFERRING = functionsThatPreferIt();

    private SlowStartGroup() {}

    /**
     * Asserts that every window stays within the budget.
     *
     * @param allowed N of the window in which requests prefer the worker first
     * @param idle    whether requests prefer it only some seconds after its start
     * @param weight  of the warm workers, each of which bears so many times what the one that warms up will
     * @param uneven  deviation of the logarithm of the dispatchers' shares of the requests; 0 for like shares
     */
    static void assertWithinBudget(
            int dispatchers, int allowed, boolean idle, double weight, double uneven, long seed) {
        double firstMillis = idle ? IDLE_MS + WINDOW_MS : WINDOW_MS;
        double perWorker = allowed
                / (OVERLOAD_FACTOR
                        * share(firstMillis)); // requests in a window that the worker bears once it has warmed up
        double requestsPerMillis = perWorker * (WARM.size() * weight + 1) / WINDOW_MS;
        Random random = new Random(seed);
        double[] shares = shares(dispatchers, uneven, random);
        ArrayDeque<Integer> sent = new ArrayDeque<>(); // when, since the start, ms
        List<FakeDispatcherHost> group = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.inGroup(dispatchers, false, true), seed * 10_000 + i);
            host.memoryMb = 0; // so that none evicts another
            host.weight = weight;
            host.listWorkers(WARM.toArray(new String[0]));
            group.add(host);
        }
        int startMillis = BEFORE_MS;
        int preferredFromMillis = startMillis + (idle ? IDLE_MS : 0);
        double[] due = new double[dispatchers];
        int[] next = new int[dispatchers];
        for (int ms = 0; ms < preferredFromMillis + PREFERRED_MS; ms += TICK_MS) {
            for (int i = 0; i < dispatchers; i++) {
                FakeDispatcherHost host = group.get(i);
                host.actions.clear();
                if (ms == startMillis) {
                    host.weight = 1;
                    host.updateWorker(WARMING_UP, Availability.UP, host.now);
                }
                for (due[i] += (ms < preferredFromMillis ? 1 : BURST)
                                * shares[i]
                                * requestsPerMillis
                                * TICK_MS
                                * 2
                                * random.nextDouble();
                        due[i] >= 1;
                        due[i]--) {
                    String request = host.sendRequest(
                            ms < preferredFromMillis ? "f" : PREFERRING.get(next[i]++ % PREFERRING.size()));
                    if (WARMING_UP.equals(host.workerOf(request))) {
                        sent.add(ms - startMillis);
                    }
                    host.serve(request);
                }
                host.advanceMillis(TICK_MS);
            }
            int now = ms - startMillis;
            while (!sent.isEmpty() && sent.peek() <= now - WINDOW_MS) {
                sent.poll();
            }
            double n = OVERLOAD_FACTOR * share(Math.max(now, 0)) * perWorker;
            double most = n + (n < 30 ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2);
            assertTrue(
                    sent.size() <= most,
                    dispatchers + " dispatchers, seed " + seed + ", weight " + weight + ", uneven " + uneven + ", "
                            + now + " ms after the start: " + sent.size() + " in a window, allowed " + n + " and "
                            + (most - n) + " by chance");
        }
    }

    private static double share(double ageMillis) {
        return SLOW_START_FROM + (1 - SLOW_START_FROM) * Math.min(1, ageMillis / SLOW_START_MS);
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

    /** Functions that a dispatcher sends to the worker first. */
    private static List<String> functionsThatPreferIt() {
        List<String> found = new ArrayList<>();
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(1, false, true));
        host.memoryMb = 0;
        host.listWorkers("b", "c", "d", "e", WARMING_UP);
        for (int i = 0; found.size() < 100; i++) {
            String request = host.sendRequest("g" + i);
            if (WARMING_UP.equals(host.workerOf(request))) {
                found.add("g" + i);
            }
            host.serve(request);
            host.actions.clear();
        }
        return found;
    }
}

package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A group of dispatchers whose requests all prefer one worker that warms up; counts the requests that they send to it in
 * each window.
 */
final class SlowStartGroup {
    private static final List<String> WARM_WORKERS = List.of("b", "c", "d", "e");
    private static final String WARMING_UP_WORKER = "x";
    private static final int LEARNING_MS = 6000; // in which each dispatcher learns the rate of its responses
    private static final int IDLE_MS = 4000;
    private static final int PREFERRED_MS = 2000;
    private static final double SLOW_START_FROM = 0.2; // as in FakeDispatcherHost.settings
    private static final double SLOW_START_MS = 10_000;
    private static final double OVERLOAD_FACTOR = 2;
    private static final int WINDOW_MS = 1000;
    // Factor of the request rate while requests prefer the worker.
    private static final double PREFERRED_RATE_FACTOR = 1.5;
    private static final int TICK_MS = 20;
    private static final List<String> PREFERRING_FUNCTIONS = functionsThatPreferWarmingUpWorker();

    private SlowStartGroup() {}

    /**
     * Asserts that the worker gets at most its budget in every window.
     *
     * @param allowed the budget N of the first window in which requests prefer the worker
     * @param idle    whether requests start to prefer it some seconds after its start
     * @param weight  capacity of each warm worker, as a multiple of that of the one that warms up
     * @param uneven  standard deviation of the logarithm of the dispatchers' shares of the requests; 0 for equal shares
     */
    static void assertWithinBudget(
            int dispatchers, int allowed, boolean idle, double weight, double uneven, long seed) {
        double firstMillis = idle ? IDLE_MS + WINDOW_MS : WINDOW_MS;
        double perWorker = allowed
                / (OVERLOAD_FACTOR
                        * rampShare(firstMillis)); // requests per window that the worker serves once it is warm
        double requestsPerMillis = perWorker * (WARM_WORKERS.size() * weight + 1) / WINDOW_MS;
        Random random = new Random(seed);
        double[] shares = randomShares(dispatchers, uneven, random);
        ArrayDeque<Integer> sent = new ArrayDeque<>(); // send times in ms since the worker's start
        List<FakeDispatcherHost> group = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.inGroup(dispatchers, false, true), seed * 10_000 + i);
            host.memoryMb = 0; // functions do not evict each other
            host.weight = weight;
            host.listWorkers(WARM_WORKERS.toArray(new String[0]));
            group.add(host);
        }
        int startMillis = LEARNING_MS;
        int preferredFromMillis = startMillis + (idle ? IDLE_MS : 0);
        double[] due = new double[dispatchers];
        int[] next = new int[dispatchers];
        for (int ms = 0; ms < preferredFromMillis + PREFERRED_MS; ms += TICK_MS) {
            for (int i = 0; i < dispatchers; i++) {
                FakeDispatcherHost host = group.get(i);
                host.actions.clear();
                if (ms == startMillis) {
                    host.weight = 1;
                    host.updateWorker(WARMING_UP_WORKER, Availability.UP, host.now);
                }
                for (due[i] += (ms < preferredFromMillis ? 1 : PREFERRED_RATE_FACTOR)
                                * shares[i]
                                * requestsPerMillis
                                * TICK_MS
                                * 2
                                * random.nextDouble();
                        due[i] >= 1;
                        due[i]--) {
                    String request = host.sendRequest(
                            ms < preferredFromMillis
                                    ? "f"
                                    : PREFERRING_FUNCTIONS.get(next[i]++ % PREFERRING_FUNCTIONS.size()));
                    if (WARMING_UP_WORKER.equals(host.workerOf(request))) {
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
            double budget = OVERLOAD_FACTOR * rampShare(Math.max(now, 0)) * perWorker;
            double max = budget + (budget < 30 ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2);
            assertTrue(
                    sent.size() <= max,
                    dispatchers + " dispatchers, seed " + seed + ", weight " + weight + ", uneven " + uneven + ", "
                            + now + " ms after the start: " + sent.size() + " in a window, allowed " + budget + " and "
                            + (max - budget) + " by chance");
        }
    }

    private static double rampShare(double ageMillis) {
        return SLOW_START_FROM + (1 - SLOW_START_FROM) * Math.min(1, ageMillis / SLOW_START_MS);
    }

    private static double[] randomShares(int dispatchers, double uneven, Random random) {
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

    /** Functions whose first preferred worker is the one that warms up. */
    private static List<String> functionsThatPreferWarmingUpWorker() {
        List<String> found = new ArrayList<>();
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(1, false, true));
        host.memoryMb = 0;
        host.listWorkers("b", "c", "d", "e", WARMING_UP_WORKER);
        for (int i = 0; found.size() < 100; i++) {
            String request = host.sendRequest("g" + i);
            if (WARMING_UP_WORKER.equals(host.workerOf(request))) {
                found.add("g" + i);
            }
            host.serve(request);
            host.actions.clear();
        }
        return found;
    }
}

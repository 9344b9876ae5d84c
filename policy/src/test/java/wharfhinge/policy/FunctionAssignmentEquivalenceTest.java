package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Assignments and orders of preference are those of the former calculation, {@link FormerFunctionAssignment}. */
class FunctionAssignmentEquivalenceTest {
    private static final long MS = FakeDispatcherHost.MS;
    private static final double SMALLER_MB = 600;
    private static final double LARGER_MB = 1000;

    private final DispatcherSettings settings = settings();
    private DispatcherComponents components;
    private FormerFunctionAssignment former;
    private DispatcherComponents formerComponents;
    private Random random;
    private long lastStartedAt;

    private static DispatcherSettings settings() {
        return FakeDispatcherHost.withKinds(List.of("smaller", "larger", "any"), List.of(SMALLER_MB, LARGER_MB), 1);
    }

    private void reset(long seed) {
        random = new Random(seed);
        components = newComponents();
        formerComponents = newComponents();
        former = new FormerFunctionAssignment(formerComponents);
    }

    private DispatcherComponents newComponents() {
        return new DispatcherComponents(
                new DispatcherContext(100_000 * MS, 1, settings, FakeDispatcherHost.loadingOnDemand()));
    }

    @Test
    void randomEvents_functionsOfOneSize() {
        for (int seed = 0; seed < 120; seed++) {
            runEvents(seed, 1 + seed % 50, 10 + 5 * (seed % 20), new double[] {200}, 250);
        }
    }

    @Test
    void randomEvents_functionsOfManySizes() {
        double[] sizes = {1, 50, 130, 250, 400, 599, 600, 601, 900, 1000};
        for (int seed = 0; seed < 120; seed++) {
            runEvents(seed, 1 + seed % 50, 10 + 5 * (seed % 20), sizes, 250);
        }
    }

    /** More functions than are kept, so that those requested least are removed. */
    @Test
    void randomEvents_moreFunctionsThanAreKept() {
        runEvents(7, 6, 3000, new double[] {1, 2, 3}, 9000);
    }

    private void runEvents(long seed, int workers, int functions, double[] sizes, int events) {
        reset(seed);
        int eventsPerCheck = 2 + events / 300;
        listUp(workers, workers + 1); // stays, so that each function fits on some worker
        for (int i = 0; i < workers; i++) {
            update(i);
        }
        for (int step = 0; step < events; step++) {
            event(workers, functions, sizes);
            if (random.nextInt(eventsPerCheck) == 0) {
                check("seed " + seed + " step " + step);
            }
        }
        assertTrue(components.traffic.all().size() > 0);
    }

    private void event(int workers, int functions, double[] sizes) {
        int kind = random.nextInt(100);
        if (kind < 15) {
            int changes = 1 + random.nextInt(3);
            for (int i = 0; i < changes; i++) {
                update(random.nextInt(workers));
            }
        } else if (kind < 18) {
            advance(random.nextInt(60_000));
            components.assignment.expire();
            former.expire();
        } else if (kind < 25) {
            components.assignment.refresh();
            former.refresh();
        } else {
            int function = random.nextInt(functions);
            Request request = request("f" + function, sizes[function % sizes.length]);
            advance(1 + random.nextInt(20));
            components.assignment.onRequest(request);
            former.onRequest(request);
        }
    }

    private static Request request(String function, double memoryMb) {
        return new Request("q", null, 2500 * MS, memoryMb, function, 100 * MS, 4, 300, "c", false, false);
    }

    private void advance(long millis) {
        components.context.now += millis * MS;
        formerComponents.context.now += millis * MS;
    }

    /** A worker joins, leaves, restarts, or is listed with another weight or kind. */
    private void update(int worker) {
        String[] kinds = {"smaller", "larger", "any"};
        lastStartedAt += random.nextInt(3) == 0 ? 1 : 0;
        Endpoint endpoint = new Endpoint(
                "w" + worker,
                "a",
                kinds[random.nextInt(20) == 0 ? 2 : worker % 2],
                0,
                random.nextInt(3) == 0 ? Availability.DRAINING : Availability.UP,
                random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 1,
                lastStartedAt);
        update(components.registry, endpoint);
        update(formerComponents.registry, endpoint);
    }

    private static void update(WorkerRegistry registry, Endpoint endpoint) {
        WorkerState previous = registry.find(endpoint.id());
        WorkerState current = registry.update(endpoint);
        if (previous != null && (previous != current || !current.up)) {
            registry.markDown(previous);
        }
    }

    /** Every decision is preceded by a refresh; what holds between an update of the list and a refresh decides nothing. */
    private void check(String at) {
        components.assignment.refresh();
        former.refresh();
        assertEquals(
                formerComponents.traffic.functions(), components.traffic.functions(), () -> at + ": other functions");
        for (FunctionStats stats : components.traffic.all()) {
            FunctionStats formerStats = formerComponents.traffic.find(stats.function);
            boolean fits = components.assignment.fitsAnywhere(stats.memoryMb);
            WorkerState worker = stats.assignedWorker;
            assertEquals(
                    fits ? former.assignedWorker(formerStats) : null,
                    worker == null ? null : worker.id,
                    () -> at + ": " + stats.function);
        }
        for (int i = 0; i < components.registry.active().size(); i++) {
            WorkerState worker = components.registry.active().get(i);
            WorkerState formerWorker = formerComponents.registry.active().get(i);
            assertEquals(former.assignedMemoryMb(formerWorker), worker.assignedMemoryMb, 1e-6, () -> at + worker.id);
        }
    }

    /** The kept orders are those of the sorted fleet, also where the fleet is larger than a kept order. */
    @Test
    void ordersOfPreference_areThoseOfTheSortedFleet() {
        reset(3);
        int workers = 300;
        for (int i = 0; i < workers; i++) {
            update(i);
        }
        for (int step = 0; step < 400; step++) {
            event(workers, 40, new double[] {1});
            components.assignment.refresh();
            former.refresh();
            for (FunctionStats stats : components.traffic.all()) {
                int count = 1 + random.nextInt(random.nextInt(8) == 0 ? workers : 20);
                String[] head = ids(components.preferred.head(stats.function, stats.hash, count));
                List<WorkerState> sorted = former.preference(formerComponents.traffic.find(stats.function));
                String[] expected = ids(sorted.subList(0, head.length).toArray(WorkerState[]::new));
                assertArrayEquals(expected, head, stats.function);
                assertTrue(head.length >= Math.min(count, sorted.size()));
            }
        }
    }

    private static String[] ids(WorkerState[] workers) {
        return Arrays.stream(workers).map(worker -> worker.id).toArray(String[]::new);
    }

    /** Guards against a function that no memory holds: it displaced others from worker to worker. */
    @Test
    void functionLargerThanAnyWorker_isAssignedNowhereAndDisplacesNone() {
        reset(1);
        listUp(0, 20);
        for (int i = 0; i < 30; i++) {
            components.assignment.onRequest(request("f" + i, 10));
            advance(1);
        }
        String before = assignments();
        for (int i = 0; i < 30; i++) {
            components.assignment.onRequest(request("large" + i, 900_000_000));
            assertNull(components.assignment.assignedWorker("large" + i));
            advance(1);
        }
        assertTrue(assignments().startsWith(before), "other functions stay where they are");
    }

    private String assignments() {
        StringBuilder text = new StringBuilder();
        components.traffic.all().stream()
                .filter(stats -> stats.assignedWorker != null)
                .forEach(stats -> text.append(stats.function)
                        .append(' ')
                        .append(stats.assignedWorker.id)
                        .append('\n'));
        return text.toString();
    }

    /**
     * A fleet that is replaced at once: the functions are assigned in parts, and until then nowhere, never to a worker
     * that is gone. In the end the assignments are those of the former calculation.
     */
    @Test
    void fleetReplacedAtOnce_functionsAreAssignedInParts() {
        reset(5);
        int workers = 1000;
        listUp(0, workers);
        for (int i = 0; i < 2000; i++) {
            Request request = request("f" + i, 100);
            components.assignment.onRequest(request);
            former.onRequest(request);
            advance(1);
        }
        for (int i = 0; i < workers; i++) {
            update(components.registry, endpoint(i, Availability.REMOVED));
            update(formerComponents.registry, endpoint(i, Availability.REMOVED));
        }
        listUp(workers, 2 * workers);
        int parts = 0;
        for (boolean isDone = false; !isDone; parts++) {
            components.assignment.refresh();
            advance(1);
            Set<WorkerState> active = new HashSet<>(components.registry.active());
            isDone = true;
            for (FunctionStats stats : components.traffic.all()) {
                assertTrue(stats.assignedWorker == null || active.contains(stats.assignedWorker));
                isDone &= stats.assignedWorker != null;
            }
        }
        assertTrue(parts > 1, "parts " + parts);
        check("after the last part");
    }

    private void listUp(int from, int to) {
        for (int i = from; i < to; i++) {
            update(components.registry, endpoint(i, Availability.UP));
            update(formerComponents.registry, endpoint(i, Availability.UP));
        }
    }

    private static Endpoint endpoint(int worker, Availability availability) {
        return new Endpoint("w" + worker, "a", "larger", 0, availability, 1, 0);
    }
}

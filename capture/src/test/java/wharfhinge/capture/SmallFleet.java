package wharfhinge.capture;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/** A recorded dispatcher with a few simulated workers in simulated time; a seed determines the frames. */
final class SmallFleet implements DispatcherActions {
    private static final long MS = 1_000_000L;
    private static final String FAULTY_WORKER = "w3"; // the preferred worker of most functions here

    /** Faults that are injected into a run, most of them at one worker. */
    enum Fault {
        NONE,
        SILENT,
        FAILS,
        SATURATES,
        LOSES_COPIES,
        DRAINS,
        RESTARTS,
        OUT_OF_ORDER_UPDATES,
        PROCESS_STALLS,
        SLOW,
        SILENT_WITH_PROBING
    }

    private record ScheduledEvent(long at, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::sequence));
    private final Random random;
    private final Fault fault;
    private final Map<String, Integer> attempts = new HashMap<>();
    private final Map<String, Request> calls = new HashMap<>();
    private final Map<String, Boolean> completedAttempts = new HashMap<>();
    private final Recorder recorder;
    private long now = MS;
    private long sequence;
    private long revision = 1;

    private SmallFleet(long seed, Fault fault, java.util.function.Consumer<Frame> sink) {
        this.random = new Random(seed);
        this.fault = fault;
        this.recorder = new Recorder(
                CacheAwareDispatcher::new,
                now,
                0,
                seed,
                SmallSettings.of(fault == Fault.LOSES_COPIES, fault == Fault.SILENT_WITH_PROBING ? 100 : 1),
                this,
                sink); // dispatchers of large groups probe before they send
    }

    /** Simulates a number of calls to six workers at ten calls per second and returns all frames. */
    static List<Frame> recordFrames(long seed, Fault fault, int calls) {
        List<Frame> frames = new ArrayList<>();
        simulate(seed, fault, calls, frames::add);
        return frames;
    }

    static void simulate(long seed, Fault fault, int calls, java.util.function.Consumer<Frame> sink) {
        SmallFleet fleet = new SmallFleet(seed, fault, sink);
        fleet.sendEndpointUpdate(EndpointUpdateMode.FULL, 6, Availability.UP);
        for (int i = 0; i < calls; i++) {
            int id = i;
            fleet.at(fleet.now + i * 100 * MS + fleet.random.nextInt(50) * MS, () -> fleet.call(id));
        }
        fleet.scheduleFault(calls);
        while (!fleet.queue.isEmpty() && fleet.now < (calls + 30) * 100 * MS) {
            ScheduledEvent due = fleet.queue.poll();
            fleet.now = Math.max(fleet.now, due.at);
            due.action.run();
        }
    }

    private void scheduleFault(int calls) {
        long middle = now + calls * 50 * MS;
        switch (fault) {
            case DRAINS -> at(middle, () -> changeWorker(FAULTY_WORKER, Availability.DRAINING, 0));
            case RESTARTS -> at(middle, () -> {
                changeWorker(FAULTY_WORKER, Availability.REMOVED, 0);
                changeWorker(FAULTY_WORKER, Availability.UP, now);
            });
            case OUT_OF_ORDER_UPDATES -> at(middle, () -> {
                long newer = ++revision + 5;
                recorder.onEndpointUpdate(
                        now, EndpointUpdateMode.INCREMENTAL, newer, List.of(worker("w4", Availability.DRAINING, 0)));
                recorder.onEndpointUpdate(
                        now, EndpointUpdateMode.INCREMENTAL, newer - 3, List.of(worker("w4", Availability.UP, 0)));
            });
            case PROCESS_STALLS -> at(middle, () -> now += 2000 * MS); // the clock jumps: all scheduled events are late
            default -> {}
        }
    }

    private void sendEndpointUpdate(EndpointUpdateMode mode, int count, Availability availability) {
        List<Endpoint> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            workers.add(worker("w" + i, availability, 0));
        }
        recorder.onEndpointUpdate(now, mode, revision++, workers);
    }

    private void changeWorker(String id, Availability availability, long startedAt) {
        recorder.onEndpointUpdate(
                now, EndpointUpdateMode.INCREMENTAL, revision++, List.of(worker(id, availability, startedAt)));
    }

    private static Endpoint worker(String id, Availability availability, long startedAt) {
        return new Endpoint(id, "z", "k", 0, availability, 1, startedAt);
    }

    private void at(long atNanos, Runnable action) {
        queue.add(new ScheduledEvent(atNanos, sequence++, action));
    }

    private void call(int id) {
        Request request = new Request(
                "c" + id,
                id % 3 == 0 ? null : "t",
                2000 * MS,
                100,
                "f" + random.nextInt(5),
                20 * MS,
                1,
                300,
                id % 4 == 0 ? "once" : "safe",
                false,
                false);
        calls.put(request.id(), request);
        recorder.named(now, request.id(), "client-" + id);
        if (id % 5 == 0) {
            recorder.isCached(now, request.function());
        }
        recorder.onRequest(now, request);
    }

    private boolean isFaulty(String worker) {
        return worker.equals(FAULTY_WORKER) && now > 3000 * MS;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        int index = attempts.merge(request, 1, Integer::sum) - 1;
        Outcome outcome = Outcome.SERVED;
        long took = (20 + random.nextInt(30)) * MS;
        if (isFaulty(worker)) {
            switch (fault) {
                case SILENT, SILENT_WITH_PROBING -> took = 2000 * MS;
                case SLOW -> took *= 20;
                case FAILS -> outcome = Outcome.ERROR;
                case SATURATES -> outcome = Outcome.SATURATED;
                case LOSES_COPIES -> outcome = Outcome.NOT_LOADED;
                default -> {}
            }
        }
        Outcome finalOutcome = took >= 2000 * MS ? Outcome.TIMEOUT : outcome;
        long ns = took;
        at(now + took, () -> {
            if (completedAttempts.putIfAbsent(request + "/" + index, true) == null) {
                boolean answered = finalOutcome == Outcome.SERVED;
                recorder.onAttemptCompleted(
                        now,
                        new AttemptCompletion(
                                request,
                                finalOutcome,
                                index,
                                ns,
                                worker,
                                answered ? CacheStatus.HIT : CacheStatus.UNKNOWN,
                                0,
                                answered,
                                Map.of("rif", (double) random.nextInt(4))));
            }
        });
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        at(now, () -> {
            if (completedAttempts.putIfAbsent(request + "/" + attempt, true) == null) {
                recorder.onAttemptCompleted(
                        now,
                        new AttemptCompletion(
                                request,
                                Outcome.CANCELLED,
                                attempt,
                                0,
                                FAULTY_WORKER,
                                CacheStatus.UNKNOWN,
                                0,
                                false,
                                Map.of()));
            }
        });
    }

    @Override
    public void reject(String request, long coolDownNanos) {}

    @Override
    public void fail(String request) {}

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        at(now + 300 * MS, () -> recorder.onLoadCompleted(now, worker, function, count, Outcome.SERVED, 300 * MS));
    }

    @Override
    public void unload(String worker, String function) {}

    @Override
    public void probe(String worker) {
        at(now + 5 * MS, () -> recorder.onProbeCompleted(now, worker, Outcome.SERVED, 5 * MS, Map.of("rif", 1.0)));
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        at(now + delayNanos, () -> recorder.onTimer(now, token));
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void refreshEndpoints() {}

    @Override
    public void closeIdleConnections(String worker) {}

    @Override
    public void logDiagnostic(String text) {}
}

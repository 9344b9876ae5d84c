package wharfhinge.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs a dispatcher in a test: short methods deliver events to it, and each of its actions is recorded as one line of
 * text.
 */
final class FakeDispatcherHost implements DispatcherActions {
    static final long MS = 1_000_000L;
    final List<String> actions = new ArrayList<>();
    final CacheAwareDispatcher dispatcher;
    long now = 100_000 * MS;
    int concurrencyPerCopy = 4;
    double memoryMb = 300;
    double weight = 1; // of workers that are listed or updated from now on
    long retryAfterNanos = -1;
    final Set<String> loadedCopies = new HashSet<>(); // "worker function" of each copy that residency queries find
    boolean answersResidencyQueries = true;
    private int sequence;

    FakeDispatcherHost(DispatcherSettings settings) {
        this(settings, 7);
    }

    FakeDispatcherHost(DispatcherSettings settings, long seed) {
        dispatcher = new CacheAwareDispatcher(now, seed, settings, this);
    }

    /** A host of a dispatcher in a small group whose workers load on demand. */
    static FakeDispatcherHost loadingOnDemand() {
        return new FakeDispatcherHost(settings(Effect.IDEMPOTENT, OnMissBehavior.LOAD, true));
    }

    static DispatcherSettings settings(Effect effect, OnMissBehavior onMiss, boolean hedging) {
        return settings(effect, DeduplicationScope.ALL, onMiss, hedging, 0);
    }

    static DispatcherSettings settings(
            Effect effect, DeduplicationScope scope, OnMissBehavior onMiss, boolean hedging, long loadPeriodNanos) {
        return new DispatcherSettings(
                2,
                0,
                4 * MS,
                "a",
                List.of("a", "b"),
                List.of("k"),
                Discovery.PUSHED,
                WeightReporting.SILENT,
                PriorityUnit.REQUEST,
                0.2,
                List.of(new RequestClass("c", effect, scope, 500 * MS, 600 * MS, 2500 * MS, 1, 0.2, false, 0)),
                List.of(),
                new FunctionLoading(
                        8000 * MS,
                        true,
                        onMiss,
                        10_000 * MS,
                        loadPeriodNanos,
                        0.1,
                        1,
                        0,
                        List.of(1000.0),
                        "",
                        "",
                        false,
                        true),
                new LoadFeedback(LoadReporting.SILENT, List.of()),
                new ObjectiveWeights(1, 0, 0, 0),
                new DispatchLimits(
                        true, false, false, hedging, true, 4, 1000, 2000 * MS, 250 * MS, 15_000 * MS, 100, 100_000, 0),
                new ProtectionRules(10_000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 500 * MS, 16 * MS),
                new Prices(0, 0, 0, 0, 0, 0),
                new ClientBehavior(false));
    }

    /** Settings of a group of this size, where responses and probes report load. */
    static DispatcherSettings inGroup(int groupSize, boolean probes, boolean retryAfter) {
        DispatcherSettings base = settings(Effect.IDEMPOTENT, OnMissBehavior.LOAD, true);
        DispatchLimits limits = base.limits();
        return new DispatcherSettings(
                groupSize,
                0,
                base.tickNanos(),
                base.zone(),
                base.zones(),
                base.kinds(),
                base.discovery(),
                base.weightReporting(),
                base.priorityUnit(),
                base.overQuotaPriorityWeight(),
                base.classes(),
                base.tenants(),
                base.functionLoading(),
                new LoadFeedback(LoadReporting.PIGGYBACK, List.of("rif")),
                base.objectiveWeights(),
                new DispatchLimits(
                        limits.cancellation(),
                        limits.peerMessages(),
                        probes,
                        limits.hedging(),
                        retryAfter,
                        limits.maxAttempts(),
                        limits.maxOpen(),
                        200 * MS,
                        limits.connectTimeoutNanos(),
                        limits.connectionIdleNanos(),
                        limits.streamsPerConnection(),
                        limits.cpuMicrosPerSecond(),
                        limits.cpuMicrosPerRequest()),
                base.protectionRules(),
                base.prices(),
                base.clientBehavior());
    }

    /** Settings where functions are loaded by order only and each worker has this much memory. */
    static DispatcherSettings withMemory(double megabytes, int groupSize) {
        return withKinds(List.of("k"), List.of(megabytes), groupSize);
    }

    /** Settings where functions are loaded by order only and workers have the memory of their kind. */
    static DispatcherSettings withKinds(List<String> kinds, List<Double> megabytesByKind, int groupSize) {
        DispatcherSettings base = settings(Effect.IDEMPOTENT, OnMissBehavior.MISS, false);
        FunctionLoading loading = base.functionLoading();
        return new DispatcherSettings(
                groupSize,
                0,
                base.tickNanos(),
                base.zone(),
                base.zones(),
                kinds,
                base.discovery(),
                base.weightReporting(),
                base.priorityUnit(),
                base.overQuotaPriorityWeight(),
                base.classes(),
                base.tenants(),
                new FunctionLoading(
                        loading.idleRetentionNanos(),
                        true,
                        OnMissBehavior.MISS,
                        loading.loadTimeoutNanos(),
                        0,
                        0,
                        0,
                        0,
                        megabytesByKind,
                        "",
                        "",
                        false,
                        true),
                base.feedback(),
                base.objectiveWeights(),
                base.limits(),
                base.protectionRules(),
                base.prices(),
                base.clientBehavior());
    }

    private Endpoint worker(String id, Availability availability, long startedAt) {
        return new Endpoint(id, id.charAt(0) < 'n' ? "a" : "b", "k", 1, availability, weight, startedAt);
    }

    void listWorkers(String... ids) {
        List<Endpoint> list = new ArrayList<>();
        for (String id : ids) {
            list.add(worker(id, Availability.UP, 0));
        }
        dispatcher.onEndpointUpdate(now, EndpointUpdateMode.FULL, 1, list);
    }

    void updateWorker(String id, Availability availability, long startedAt) {
        dispatcher.onEndpointUpdate(
                now, EndpointUpdateMode.INCREMENTAL, 2, List.of(worker(id, availability, startedAt)));
    }

    String sendRequest(String function) {
        String id = "q" + sequence++;
        dispatcher.onRequest(
                now,
                new Request(id, null, 2500 * MS, memoryMb, function, 0, concurrencyPerCopy, 500, "c", false, false));
        if (answersResidencyQueries) {
            answerResidencyQueries();
        }
        return id;
    }

    /** Answers all residency queries, in the order in which they were sent. */
    void answerResidencyQueries() {
        for (String action : List.copyOf(actions)) {
            String[] part = action.split(" ");
            if (part[0].equals("ensureLoaded") && part[3].equals("0")) {
                actions.remove(action);
                dispatcher.onLoadCompleted(
                        now,
                        part[1],
                        part[2],
                        loadedCopies.contains(part[1] + " " + part[2]) ? 1 : 0,
                        Outcome.SERVED,
                        MS);
            }
        }
    }

    /** The worker of the request's latest attempt, or null if it was never sent. */
    String workerOf(String request) {
        String worker = null;
        for (String action : actions) {
            if (action.startsWith("attempt " + request + " ")) {
                worker = action.split(" ")[2];
            }
        }
        return worker;
    }

    long attemptCount(String request) {
        return actions.stream()
                .filter(action -> action.startsWith("attempt " + request + " "))
                .count();
    }

    boolean hasRecorded(String action) {
        return actions.contains(action);
    }

    void complete(String request, int attempt, Outcome outcome, CacheStatus cacheStatus, long tookMillis) {
        boolean answered =
                outcome == Outcome.SERVED || hasRecorded("reject " + request) || hasRecorded("fail " + request);
        complete(request, attempt, outcome, cacheStatus, tookMillis, answered);
    }

    void complete(
            String request, int attempt, Outcome outcome, CacheStatus cacheStatus, long tookMillis, boolean answered) {
        String worker = null;
        int index = 0;
        for (String action : List.copyOf(actions)) {
            if (action.startsWith("attempt " + request + " ") && index++ == attempt) {
                worker = action.split(" ")[2];
            }
        }
        dispatcher.onAttemptCompleted(
                now,
                new AttemptCompletion(
                        request, outcome, attempt, tookMillis * MS, worker, cacheStatus, 0, answered, Map.of()));
    }

    void serve(String request) {
        complete(request, (int) attemptCount(request) - 1, Outcome.SERVED, CacheStatus.HIT, 50);
    }

    /** Answers all probes in flight: {@code busy} reports {@code inFlight} requests in flight, the others none. */
    void answerProbes(String busy, double inFlight) {
        for (String action : List.copyOf(actions)) {
            if (action.startsWith("probe ")) {
                actions.remove(action);
                String worker = action.substring(6);
                dispatcher.onProbeCompleted(
                        now, worker, Outcome.SERVED, MS, Map.of("rif", worker.equals(busy) ? inFlight : 0.0));
            }
        }
    }

    void fireTimer(String token) {
        dispatcher.onTimer(now, token);
    }

    void advanceMillis(long ms) {
        now += ms * MS;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        actions.add("attempt " + request + " " + worker);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void reject(String request, long retryAfter) {
        actions.add("reject " + request);
        retryAfterNanos = retryAfter;
    }

    @Override
    public void fail(String request) {
        actions.add("fail " + request);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        actions.add("ensureLoaded " + worker + " " + function + " " + count);
    }

    @Override
    public void unload(String worker, String function) {
        actions.add("unload " + worker + " " + function);
    }

    @Override
    public void probe(String worker) {
        actions.add("probe " + worker);
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        actions.add("timer " + token + " " + delayNanos);
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        actions.add("sendToPeers " + peer);
    }

    @Override
    public void watchEndpoints(boolean on) {
        actions.add("watchEndpoints " + on);
    }

    @Override
    public void refreshEndpoints() {
        actions.add("refreshEndpoints");
    }

    @Override
    public void closeIdleConnections(String worker) {
        actions.add("closeIdleConnections " + worker);
    }

    @Override
    public void logDiagnostic(String text) {
        actions.add("logDiagnostic " + text);
    }
}

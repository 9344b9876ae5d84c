package wharfhinge.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A dispatcher under test with short ways to tell it events; every action is kept as one line. */
final class Recorder implements DispatcherActions {
    static final long MS = 1_000_000L;
    final List<String> lines = new ArrayList<>();
    final CacheAwareDispatcher choice;
    long now = 100_000 * MS;
    int lanes = 4;
    double memoryMb = 300;
    double weight = 1; // told of the workers listed from now on
    long advised = -1;
    final Set<String> stands = new HashSet<>(); // "worker function", told where it is asked
    boolean answersAsks = true;
    private int sequence;

    Recorder(DispatcherSettings settings) {
        this(settings, 7);
    }

    Recorder(DispatcherSettings settings, long seed) {
        choice = new CacheAwareDispatcher(now, seed, settings, this);
    }

    static DispatcherSettings settings(Effect effect, OnMissBehavior notLoaded, boolean secondCopies) {
        return settings(effect, DeduplicationScope.ALL, notLoaded, secondCopies, 0);
    }

    static DispatcherSettings settings(
            Effect effect,
            DeduplicationScope group,
            OnMissBehavior notLoaded,
            boolean secondCopies,
            long loadPeriodNanos) {
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
                List.of(new RequestClass("c", effect, group, 500 * MS, 600 * MS, 2500 * MS, 1, 0.2, false, 0)),
                List.of(),
                new FunctionLoading(
                        8000 * MS,
                        true,
                        notLoaded,
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
                        true,
                        false,
                        false,
                        secondCopies,
                        true,
                        4,
                        1000,
                        2000 * MS,
                        250 * MS,
                        15_000 * MS,
                        100,
                        100_000,
                        0),
                new ProtectionRules(10_000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 500 * MS, 16 * MS),
                new Prices(0, 0, 0, 0, 0, 0),
                new ClientBehavior(false));
    }

    /** A front end among so many, where answers and probes tell load. */
    static DispatcherSettings among(int groupSize, boolean probes, boolean retryAfter) {
        DispatcherSettings s = settings(Effect.IDEMPOTENT, OnMissBehavior.LOAD, true);
        DispatchLimits l = s.limits();
        return new DispatcherSettings(
                groupSize,
                0,
                s.tickNanos(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weightReporting(),
                s.priorityUnit(),
                s.overQuotaPriorityWeight(),
                s.classes(),
                s.tenants(),
                s.functionLoading(),
                new LoadFeedback(LoadReporting.PIGGYBACK, List.of("rif")),
                s.objectiveWeights(),
                new DispatchLimits(
                        l.cancellation(),
                        l.peerMessages(),
                        probes,
                        l.hedging(),
                        retryAfter,
                        l.maxAttempts(),
                        l.maxOpen(),
                        200 * MS,
                        l.connectTimeoutNanos(),
                        l.connectionIdleNanos(),
                        l.streamsPerConnection(),
                        l.cpuMicrosPerSecond(),
                        l.cpuMicrosPerRequest()),
                s.protectionRules(),
                s.prices(),
                s.clientBehavior());
    }

    /** Orders load; each worker holds so much. */
    static DispatcherSettings withMemory(double megabytes, int groupSize) {
        DispatcherSettings s = settings(Effect.IDEMPOTENT, OnMissBehavior.MISS, false);
        FunctionLoading f = s.functionLoading();
        return new DispatcherSettings(
                groupSize,
                0,
                s.tickNanos(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weightReporting(),
                s.priorityUnit(),
                s.overQuotaPriorityWeight(),
                s.classes(),
                s.tenants(),
                new FunctionLoading(
                        f.idleRetentionNanos(),
                        true,
                        OnMissBehavior.MISS,
                        f.loadTimeoutNanos(),
                        0,
                        0,
                        0,
                        0,
                        List.of(megabytes),
                        "",
                        "",
                        false,
                        true),
                s.feedback(),
                s.objectiveWeights(),
                s.limits(),
                s.protectionRules(),
                s.prices(),
                s.clientBehavior());
    }

    private Endpoint worker(String id, Availability availability, long startedAt) {
        return new Endpoint(id, id.charAt(0) < 'n' ? "a" : "b", "k", 1, availability, weight, startedAt);
    }

    void fleet(String... ids) {
        List<Endpoint> list = new ArrayList<>();
        for (String id : ids) {
            list.add(worker(id, Availability.UP, 0));
        }
        choice.onEndpointUpdate(now, EndpointUpdateMode.FULL, 1, list);
    }

    void change(String id, Availability availability, long startedAt) {
        choice.onEndpointUpdate(now, EndpointUpdateMode.INCREMENTAL, 2, List.of(worker(id, availability, startedAt)));
    }

    String query(String function) {
        String id = "q" + sequence++;
        choice.onRequest(now, new Request(id, null, 2500 * MS, memoryMb, function, 0, lanes, 500, "c", false, false));
        if (answersAsks) {
            answerAsks();
        }
        return id;
    }

    /** Answers all that only asks, in the order of asking. */
    void answerAsks() {
        for (String line : List.copyOf(lines)) {
            String[] part = line.split(" ");
            if (part[0].equals("hold") && part[3].equals("0")) {
                lines.remove(line);
                choice.onLoadCompleted(
                        now, part[1], part[2], stands.contains(part[1] + " " + part[2]) ? 1 : 0, Outcome.SERVED, MS);
            }
        }
    }

    /** The worker of the request's latest attempt, or null if it was never sent. */
    String sentTo(String request) {
        String worker = null;
        for (String line : lines) {
            if (line.startsWith("attempt " + request + " ")) {
                worker = line.split(" ")[2];
            }
        }
        return worker;
    }

    long attempts(String request) {
        return lines.stream()
                .filter(l -> l.startsWith("attempt " + request + " "))
                .count();
    }

    boolean did(String line) {
        return lines.contains(line);
    }

    void end(String request, int attempt, Outcome outcome, CacheStatus note, long tookMillis) {
        boolean settled = outcome == Outcome.SERVED || did("refuse " + request) || did("fail " + request);
        end(request, attempt, outcome, note, tookMillis, settled);
    }

    void end(String request, int attempt, Outcome outcome, CacheStatus note, long tookMillis, boolean settled) {
        String worker = null;
        int index = 0;
        for (String line : List.copyOf(lines)) {
            if (line.startsWith("attempt " + request + " ") && index++ == attempt) {
                worker = line.split(" ")[2];
            }
        }
        choice.onAttemptCompleted(
                now,
                new AttemptCompletion(request, outcome, attempt, tookMillis * MS, worker, note, 0, settled, Map.of()));
    }

    void served(String request) {
        end(request, (int) attempts(request) - 1, Outcome.SERVED, CacheStatus.HIT, 50);
    }

    /** Answers each probe that is out: {@code busy} tells so many in flight, the others none. */
    void answerProbes(String busy, double inFlight) {
        for (String line : List.copyOf(lines)) {
            if (line.startsWith("probe ")) {
                lines.remove(line);
                String worker = line.substring(6);
                choice.onProbeCompleted(
                        now, worker, Outcome.SERVED, MS, Map.of("rif", worker.equals(busy) ? inFlight : 0.0));
            }
        }
    }

    void due(String token) {
        choice.onTimer(now, token);
    }

    void pass(long ms) {
        now += ms * MS;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        lines.add("attempt " + request + " " + worker);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        lines.add("cancel " + request + " " + attempt);
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        lines.add("refuse " + request);
        advised = coolDownNanos;
    }

    @Override
    public void fail(String request) {
        lines.add("fail " + request);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        lines.add("hold " + worker + " " + function + " " + count);
    }

    @Override
    public void unload(String worker, String function) {
        lines.add("unload " + worker + " " + function);
    }

    @Override
    public void probe(String worker) {
        lines.add("probe " + worker);
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        lines.add("timer " + token + " " + delayNanos);
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        lines.add("publish " + peer);
    }

    @Override
    public void watchEndpoints(boolean on) {
        lines.add("listen " + on);
    }

    @Override
    public void refreshEndpoints() {
        lines.add("reload");
    }

    @Override
    public void closeIdleConnections(String worker) {
        lines.add("hangUp " + worker);
    }

    @Override
    public void logDiagnostic(String text) {
        lines.add("remark " + text);
    }
}

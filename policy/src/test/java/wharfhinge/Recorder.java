package wharfhinge;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wharfhinge.Dispatcher.NotLoaded;

/** A dispatcher under test with short ways to tell it events; every action is kept as one line. */
final class Recorder implements Dispatcher.Actions {
    static final long MS = 1_000_000L;
    final List<String> lines = new ArrayList<>();
    final Choice choice;
    long now = 100_000 * MS;
    int lanes = 4;
    double memoryMb = 300;
    double weight = 1; // told of the workers listed from now on
    long advised = -1;
    final Set<String> stands = new HashSet<>(); // "worker function", told where it is asked
    boolean answersAsks = true;
    private int sequence;

    Recorder(Dispatcher.Settings settings) {
        this(settings, 7);
    }

    Recorder(Dispatcher.Settings settings, long seed) {
        choice = new Choice(now, seed, settings, this);
    }

    static Dispatcher.Settings settings(Dispatcher.Effect effect, NotLoaded notLoaded, boolean secondCopies) {
        return settings(effect, Dispatcher.Group.ALL, notLoaded, secondCopies, 0);
    }

    static Dispatcher.Settings settings(
            Dispatcher.Effect effect,
            Dispatcher.Group group,
            NotLoaded notLoaded,
            boolean secondCopies,
            long loadPeriodNs) {
        return new Dispatcher.Settings(
                2,
                0,
                4 * MS,
                "a",
                List.of("a", "b"),
                List.of("k"),
                Dispatcher.Discovery.PUSHED,
                Dispatcher.Weights.SILENT,
                Dispatcher.WorthBy.REQUEST,
                0.2,
                List.of(new Dispatcher.RequestClass(
                        "c", effect, group, 500 * MS, 600 * MS, 2500 * MS, 1, 0.2, false, 0)),
                List.of(),
                new Dispatcher.FamilyInfo(
                        8000 * MS,
                        true,
                        notLoaded,
                        10_000 * MS,
                        loadPeriodNs,
                        0.1,
                        1,
                        0,
                        List.of(1000.0),
                        "",
                        "",
                        false,
                        true),
                new Dispatcher.Feedback(Dispatcher.Reports.SILENT, List.of()),
                new Dispatcher.Goal(1, 0, 0, 0),
                new Dispatcher.Limits(
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
                new Dispatcher.Obligations(10_000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 500 * MS, 16 * MS),
                new Dispatcher.Prices(0, 0, 0, 0, 0, 0),
                new Dispatcher.Callers(false));
    }

    /** A front end among so many, where answers and probes tell load. */
    static Dispatcher.Settings among(int groupSize, boolean probes, boolean retryAfter) {
        Dispatcher.Settings s = settings(Dispatcher.Effect.IDEMPOTENT, NotLoaded.LOAD, true);
        Dispatcher.Limits l = s.limits();
        return new Dispatcher.Settings(
                groupSize,
                0,
                s.tickNs(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weights(),
                s.worthBy(),
                s.overShareWorth(),
                s.classes(),
                s.realms(),
                s.familyInfo(),
                new Dispatcher.Feedback(Dispatcher.Reports.PIGGYBACK, List.of("rif")),
                s.goal(),
                new Dispatcher.Limits(
                        l.cancelling(),
                        l.peers(),
                        probes,
                        l.secondCopies(),
                        retryAfter,
                        l.maxAttempts(),
                        l.maxOpen(),
                        200 * MS,
                        l.dialTimeoutNs(),
                        l.connIdleNs(),
                        l.streamsPerConn(),
                        l.cpuUsPerS(),
                        l.cpuUsPerRequest()),
                s.obligations(),
                s.prices(),
                s.callers());
    }

    /** Orders load; each worker holds so much. */
    static Dispatcher.Settings withMemory(double megabytes, int groupSize) {
        Dispatcher.Settings s = settings(Dispatcher.Effect.IDEMPOTENT, NotLoaded.MISS, false);
        Dispatcher.FamilyInfo f = s.familyInfo();
        return new Dispatcher.Settings(
                groupSize,
                0,
                s.tickNs(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weights(),
                s.worthBy(),
                s.overShareWorth(),
                s.classes(),
                s.realms(),
                new Dispatcher.FamilyInfo(
                        f.keepNs(),
                        true,
                        NotLoaded.MISS,
                        f.loadWaitNs(),
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
                s.goal(),
                s.limits(),
                s.obligations(),
                s.prices(),
                s.callers());
    }

    private Dispatcher.Worker worker(String id, Dispatcher.Availability availability, long startedAt) {
        return new Dispatcher.Worker(id, id.charAt(0) < 'n' ? "a" : "b", "k", 1, availability, weight, startedAt);
    }

    void fleet(String... ids) {
        List<Dispatcher.Worker> list = new ArrayList<>();
        for (String id : ids) {
            list.add(worker(id, Dispatcher.Availability.UP, 0));
        }
        choice.members(now, Dispatcher.ListMode.ALL, 1, list);
    }

    void change(String id, Dispatcher.Availability availability, long startedAt) {
        choice.members(now, Dispatcher.ListMode.CHANGES, 2, List.of(worker(id, availability, startedAt)));
    }

    String query(String function) {
        String id = "q" + sequence++;
        choice.query(
                now, new Dispatcher.Request(id, null, 2500 * MS, memoryMb, function, 0, lanes, 500, "c", false, false));
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
                choice.resident(
                        now,
                        part[1],
                        part[2],
                        stands.contains(part[1] + " " + part[2]) ? 1 : 0,
                        Dispatcher.Outcome.SERVED,
                        MS);
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

    void end(String request, int attempt, Dispatcher.Outcome outcome, Dispatcher.Note note, long tookMs) {
        boolean settled = outcome == Dispatcher.Outcome.SERVED || did("refuse " + request) || did("fail " + request);
        end(request, attempt, outcome, note, tookMs, settled);
    }

    void end(
            String request,
            int attempt,
            Dispatcher.Outcome outcome,
            Dispatcher.Note note,
            long tookMs,
            boolean settled) {
        String worker = null;
        int index = 0;
        for (String line : List.copyOf(lines)) {
            if (line.startsWith("attempt " + request + " ") && index++ == attempt) {
                worker = line.split(" ")[2];
            }
        }
        choice.completed(
                now,
                new Dispatcher.Completion(request, outcome, attempt, tookMs * MS, worker, note, 0, settled, Map.of()));
    }

    void served(String request) {
        end(request, (int) attempts(request) - 1, Dispatcher.Outcome.SERVED, Dispatcher.Note.FOUND_LOADED, 50);
    }

    /** Answers each probe that is out: {@code busy} tells so many in flight, the others none. */
    void answerProbes(String busy, double inFlight) {
        for (String line : List.copyOf(lines)) {
            if (line.startsWith("probe ")) {
                lines.remove(line);
                String worker = line.substring(6);
                choice.probed(
                        now,
                        worker,
                        Dispatcher.Outcome.SERVED,
                        MS,
                        Map.of("rif", worker.equals(busy) ? inFlight : 0.0));
            }
        }
    }

    void due(String token) {
        choice.due(now, token);
    }

    void pass(long ms) {
        now += ms * MS;
    }

    @Override
    public void attempt(String request, String worker, long timeoutNs) {
        lines.add("attempt " + request + " " + worker);
    }

    @Override
    public void cancel(String request, int attempt) {
        lines.add("cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(String request, long coolDownNs) {
        lines.add("refuse " + request);
        advised = coolDownNs;
    }

    @Override
    public void fail(String request) {
        lines.add("fail " + request);
    }

    @Override
    public void hold(String worker, String function, int count) {
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
    public void timer(String token, long delayNs) {
        lines.add("timer " + token + " " + delayNs);
    }

    @Override
    public void publish(int peer, byte[] payload) {
        lines.add("publish " + peer);
    }

    @Override
    public void listen(boolean on) {
        lines.add("listen " + on);
    }

    @Override
    public void reload() {
        lines.add("reload");
    }

    @Override
    public void hangUp(String worker) {
        lines.add("hangUp " + worker);
    }

    @Override
    public void remark(String text) {
        lines.add("remark " + text);
    }
}

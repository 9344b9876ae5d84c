package wharfhinge.policy;

// Events, actions and settings: Dispatcher.java. Every decision is in this file, in six parts: 1 warm lists,
// 2 ranking, 3 eligibility, 4 attempts, 5 loads, 6 admission; docs/design.md has the why.

import java.util.*;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** The decisions of one dispatcher. One thread at a time; needs nothing but its events. */
public final class CacheAwareDispatcher implements Dispatcher {

    private static final long MS = 1_000_000L;

    // Ranking. The limit starts at the design's eight and follows latency against the aim.
    private static final double LIMIT_START = 8, FEW = 4; // front ends that figures for one are meant for
    private static final double LIMIT_MIN = 0.03; // many front ends on a worker: one at a time is too many
    private static final double LIMIT_STEP = 0.1, LIMIT_CUT = 0.85; // raise an answer, cut a latency
    private static final double LIMIT_PACE = 0.5; // below one, where answers are rare: cut; inverted, raise
    private static final double LIMIT_HIGH = 0.7, LIMIT_LOW = 0.45; // of the aim: next is late, there is room

    private static final long SHARE_WINDOW = 15_000 * MS; // memory of each function's share of own calls
    private static final int HOMES_KEPT = 16, ASK_MOST = 5; // beside twice those needed; asked for a copy
    private static final double SHARE_PRIOR = 10; // calls without a share, so that few calls spread nothing
    private static final double SPREAD = 5; // homes for each worker that its share fills; 4, 8 alike, 2 worse
    private static final long REPORT_MEMORY = 3000 * MS; // a reported load fades to the mean; 1 s is worse
    private static final double REPORT_FULL = 1.5, REPORT_BUSY = 1.1; // times the mean: saturated, slow
    private static final double REPORT_IDLE = 3; // for each unit of told size: never saturated below
    private static final long LOOK_FRESH = 300 * MS, LOOK_WAIT = 40 * MS; // needs no probe; waits for one

    // Eligibility. Weights of a smoothed value: recent ten to five answers decide.
    private static final double SMOOTH_LATENCY = 0.1, SMOOTH_FAILURES = 0.2, SMOOTH_USUAL = 0.02; // yardstick
    private static final long SMOOTH_WINDOW = 4000 * MS; // where answers are rarer, a new one weighs more
    private static final double FAILING = 0.45; // smoothed share of failures: three in a row from none
    private static final long STALL = 100 * MS; // a timer so late tells of a stall of our own, not of workers
    private static final int OVERDUE = 3; // attempts past their patience with no timely answer between
    private static final double MOST = 0.5; // never shut out more than this share of the fleet
    private static final long EJECT_FIRST = 1000 * MS, EJECT_LAST = 8000 * MS; // before a trial; doubles
    private static final double TRIAL_SHARE = 0.05; // of own requests at most are trials
    private static final double COLD_MARGIN = 0.6; // of the told multiple: chance and uneven peers
    private static final long RATE_WINDOW = 5000 * MS; // the memory of the rate of answers

    private static final double PATIENCE_AIM = 0.5, LANE_WAIT = 0.25; // of the aim: leaves half for another
    private static final double PATIENCE_WORK = 4, PATIENCE_LOAD = 2; // times usual answer, told load time
    private static final double RETRY_SHARE = 0.25, RETRY_BURST = 20; // tokens for a request; most held
    private static final Comparator<WorkerState> BY_PLACE = Comparator.comparingLong(w -> w.place);
    private static final Set<Outcome> NEVER_RAN = // what proves it
        EnumSet.of(Outcome.SATURATED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED, Outcome.NOT_LOADED);
    private static final long LOAD_UNTOLD = 1000 * MS; // where no usual time of a load is told

    // Loads. Own loads out at once: additive raise, multiplicative cut when the store looks crowded.
    private static final double LOADS_START = 8, LOADS_MIN = 2, LOADS_CUT = 0.7, SMOOTH_LOADS = 0.05;
    private static final double CROWDED = 3, ORDER_PATIENCE = 4; // times the told load time: line, given up

    private static final double REFUSE_OVER = 1.25; // times the limit on the least busy worker
    private static final long PRESSURE_WINDOW = 4000 * MS; // memory of what share of answers told saturation
    private static final double ADVICE = 0.1; // of the aim
    private static final double PRESSURE_FREE = 0.25, PRESSURE_SLOPE = 1.5; // borne; refused above
    private static final double PRESSURE_PRIOR = 1; // good answers taken for granted; 2, 0.5 worse

    private static final long SWEEP = 25 * MS, LAPSE = 500 * MS; // pace of looking after what is held, warm
    private static final String SWEEP_TOKEN = "sweep", LAPSE_TOKEN = "lapse", END_TOKEN = "end:",
        LOOK_TOKEN = "look:", REPORT_IN_FLIGHT = "rif";

    private final DispatcherSettings settings;
    private final DispatcherActions actions;
    private final Random random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Usual> usual = new HashMap<>();
    private final Map<String, WorkerState> workers = new LinkedHashMap<>();
    private final Map<String, TreeSet<WorkerState>> holders = new HashMap<>(); // with an entry: few, by place
    private final List<WorkerState> ready = new ArrayList<>(), odd = new ArrayList<>(); // up; cold or ejected
    private final List<WorkerState> some = new ArrayList<>(), near = new ArrayList<>(); // of one ranking
    private final Map<String, WorkerState[]> firstHomes = new HashMap<>(); // in their order
    private final Map<String, RequestState> requests = new HashMap<>();
    private final Map<String, Request> asked = new HashMap<>(); // by worker and function, until answered
    private final LinkedHashSet<RequestState> held = new LinkedHashSet<>(), looking = new LinkedHashSet<>();
    private final Map<String, Known> calls = new LinkedHashMap<>();
    private final ArrayDeque<Entry> pendingOrders = new ArrayDeque<>();
    private final ArrayDeque<Long> orderTimes = new ArrayDeque<>(), arrivalTimes = new ArrayDeque<>();
    private final long keepNanos;
    private final boolean mayLook, mayAsk;
    private final double few, unseen; // few: of a figure for a few front ends, the part for one of so many
    private long now;
    private final Decayed served = new Decayed(RATE_WINDOW), answers = new Decayed(PRESSURE_WINDOW);
    private final Decayed saturated = new Decayed(PRESSURE_WINDOW), allCalls = new Decayed(SHARE_WINDOW);
    private double meanLateness = 0.5, meanReported = 2, loadChance = 1;
    private double trialTokens = 1, retryTokens = RETRY_BURST, loadLimit = LOADS_START, sizes; // of up
    private int loadsOut, up, left; // workers: up, which may get the request at hand
    private long places, marks, rankings, readyUntil;
    private boolean sweepSet, stale;

    /** A dispatcher that knows nothing yet; draws only from {@code seed}. */
    public CacheAwareDispatcher(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        if (settings == null || settings.classes() == null || settings.classes().isEmpty()
            || settings.functionLoading() == null || settings.limits() == null || settings.protectionRules() == null) {
            throw new IllegalArgumentException("classes, family_info, limits and obligations are needed");
        }
        this.settings = settings;
        this.actions = actions;
        this.random = new Random(seed);
        this.keepNanos = settings.functionLoading().idleRetentionNanos();
        this.few = Math.min(1, FEW / Math.max(1, settings.groupSize()));
        this.unseen = 1 - 1.0 / Math.max(1, settings.groupSize()); // of all sends, what own ones do not show
        this.mayLook = few < 0.5 && settings.limits().probes() && settings.feedback() != null
            && settings.feedback().metricNames().contains(REPORT_IN_FLIGHT);
        this.mayAsk = few >= 0.5 && settings.functionLoading().loadOrdersAllowed() && !onlyOrdersLoad();
        this.now = now;
        for (RequestClass c : settings.classes()) {
            classes.put(c.name(), c);
            usual.put(c.name(), new Usual(c.latencyObjectiveNanos()));
        }
        if (settings.discovery() == Discovery.ON_REQUEST) { actions.watchEndpoints(true); }
        actions.scheduleTimer(LAPSE_TOKEN, LAPSE);
    }

    private static class Decayed { // a count that fades over a window
        private final long window;
        private double count;
        private long at;

        Decayed(long window) { this.window = window; }

        double at(long now) {
            count *= Math.exp((at - now) / (double) window);
            at = now;
            return count;
        }

        void add(double more, long now) { count = at(now) + more; }
    }

    /** The usual time of a warm answer of a class, for each unit of told cost where costs are told. */
    private static final class Usual {
        private final double untold;
        private double perUnit;
        private long samples;

        Usual(long aim) { untold = aim / 4.0; }

        void learn(double sample) {
            perUnit += Math.max(1.0 / ++samples, SMOOTH_USUAL) * (sample - perUnit);
        }

        double of(Request request) { return perUnit > 0 ? perUnit * Math.max(1, request.costNanos()) : untold; }
    }

    /** A function called of late, with its place: the first of its homes whose memory holds it. */
    private static final class Known extends Decayed {
        private final String function;
        private final long hash;
        private final double memoryMb;
        private WorkerState place;
        private int at; // of its homes
        private long noneAt = Long.MIN_VALUE / 2; // when a home last said that no copy stands there
        private Set<WorkerState> erred = new HashSet<>(2); // on it, until one served it; then null

        Known(Request r) {
            super(SHARE_WINDOW);
            function = r.function();
            hash = mix(function.hashCode());
            memoryMb = r.memoryMb();
        }
    }

    private static final class RequestState {
        private final Request request;
        private final RequestClass type;
        private final long arrived, hash, aim; // or what the client still waits
        private final double share; // of own calls, before this one
        private final List<Attempt> attempts = new ArrayList<>(2), exposed = new ArrayList<>(2); // may run
        private final Set<WorkerState> tried = new LinkedHashSet<>(), looks = new LinkedHashSet<>(); // probed
        private Entry waitsFor;
        private int live;
        private boolean streaming, done, looked, shed;

        RequestState(Request request, RequestClass type, long arrived, double share) {
            this.request = request;
            this.share = share;
            this.aim = Math.min(type.latencyObjectiveNanos(), request.remainingNanos());
            this.type = type;
            this.arrived = arrived;
            this.hash = mix(request.function().hashCode());
        }
    }

    record Attempt(RequestState request, WorkerState worker, int index, long sentAt, long patience,
                   boolean loads) { }

    private static final class WorkerState {
        private final String id;
        private final long hash, place; // place: in the order of workers
        private final Map<String, Entry> warm = new LinkedHashMap<>();
        private long mark, homeMark; // of the last query that it may not get, ranking where it is a home
        private Endpoint told;
        private boolean up, ejected;
        private int inFlight, overdue; // overdue: attempts past their patience since the last timely answer
        private double homeScore; // for the request being ranked; least first
        private double limit, lateness, latencyNanos; // latency, and over the class's aim, smoothed
        private long lastSentAt, gapNanos, limitCutAt, heardAt, sampledAt; // gap: between the last two sends
        private double reported; // in flight for each unit of told size, by all front ends
        private double failures, coldTokens, homedMb; // memory of the functions that have their place here
        private final Set<Known> homed = new LinkedHashSet<>();
        private long reportedAt, trialAt, coldAt, pause = EJECT_FIRST;

        WorkerState(String id, long place, long now, double limit, long aim, double phase) {
            this.id = id;
            this.place = place;
            this.coldTokens = phase; // so that many front ends do not reach their first token together
            this.limit = limit;
            this.latencyNanos = aim / 4.0; // until it is known
            this.heardAt = this.coldAt = now;
            this.hash = mix(id.hashCode());
        }
    }

    // ---- Events -----------------------------------------------------------------------------

    @Override public void onEndpointUpdate(long at, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
        now = at;
        if (mode == EndpointUpdateMode.REJECTED) { actions.watchEndpoints(true); return; }
        entries.forEach(this::update);
        if (mode != EndpointUpdateMode.INCREMENTAL) {
            Set<String> named = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
            workers.values().stream().filter(w -> !named.contains(w.id)).forEach(this::leave);
        }
        up = (int) workers.values().stream().filter(w -> w.up).count();
        sizes = workers.values().stream().filter(w -> w.up).mapToDouble(CacheAwareDispatcher::size).sum();
        retryHeld();
    }

    /** A worker that came back under its name is empty, cold and unjudged. */
    private void update(Endpoint entry) {
        WorkerState old = workers.get(entry.id());
        boolean fresh = old == null || entry.startedAt() != 0 && entry.startedAt() != old.told.startedAt();
        WorkerState w = fresh ? new WorkerState(entry.id(), old != null ? old.place : ++places, now,
            Math.max(1, LIMIT_START * few), settings.classes().get(0).latencyObjectiveNanos(), random.nextDouble()) : old;
        w.told = entry;
        w.up = entry.availability() == Availability.UP;
        workers.put(entry.id(), w);
        listChanged();
        if (old != null && (fresh || !w.up)) { leave(old); }
    }

    private void listChanged() {
        firstHomes.clear();
        readyUntil = 0;
        stale = true;
    }

    private void leave(WorkerState w) {
        w.up = false;
        listChanged();
        List.copyOf(w.warm.values()).forEach(this::dropEntry);
    }

    @Override public void onRequest(long at, Request request) {
        now = at;
        RequestClass type = classes.get(request.requestClass());
        if (type == null) { throw new IllegalArgumentException("unknown class " + request.requestClass()); }
        RequestState r = new RequestState(request, type, now, countCall(request));
        requests.put(request.id(), r);
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
        trialTokens = Math.min(1, trialTokens + TRIAL_SHARE);
        arrivalTimes.add(now);
        actions.scheduleTimer(END_TOKEN + request.id(), Math.max(0, request.remainingNanos() - 2 * settings.tickNanos()));
        r.shed = sheds();
        route(r);
    }

    @Override public void onClientCancelled(long at, String request) {
        now = at;
        Optional.ofNullable(requests.get(request)).ifPresent(this::finish);
    }

    @Override public void onStreamStarted(long at, String request, int attempt, String worker) {
        now = at;
        Optional.ofNullable(requests.get(request)).ifPresent(r -> r.streaming = true);
    }

    @Override public void onTimer(long at, String token) {
        now = at;
        if (token.equals(SWEEP_TOKEN) || token.equals(LAPSE_TOKEN)) {
            sweep(token.equals(LAPSE_TOKEN));
            return;
        }
        int colon = token.indexOf(':');
        RequestState r = requests.get(token.substring(colon + 1));
        if (token.startsWith(LOOK_TOKEN)) {
            lookEnds(r);
        } else if (r != null && !token.startsWith(END_TOKEN)) {
            overdue(r, Integer.parseInt(token.substring(0, colon)));
        } else if (r != null && !r.done && !r.streaming) { decline(r); }
    }

    @Override public void onAttemptCompleted(long at, AttemptCompletion c) {
        now = at;
        RequestState r = requests.get(c.request());
        Attempt a = r == null || c.attempt() >= r.attempts.size() ? null : r.attempts.get(c.attempt());
        if (a == null) { return; }
        learnReport(a.worker, c.report());
        settle(a, c);
        if (c.answered() || r.done) {
            finish(r);
        } else if (r.live == 0 && !r.streaming) { again(r, a, c); }
    }

    private void sweep(boolean full) {
        sweepSet &= full;
        if (full) { lapse(); }
        retryHeld();
        givePendingOrders();
        setSweep();
    }

    private void setSweep() {
        if (!sweepSet && !held.isEmpty()) {
            sweepSet = true;
            actions.scheduleTimer(SWEEP_TOKEN, SWEEP);
        }
    }

    // ---- 1. Warm lists ----------------------------------------------------------------------

    private static final class Entry { // a function believed warm, or loading, on one worker
        private final WorkerState worker;
        private final String function;
        private final LinkedHashSet<RequestState> waiting = new LinkedHashSet<>();
        private boolean loading, ordered;
        private long lastSend, orderedAt, loadNanos;
        private double memoryMb;
        private int inFlight;

        Entry(WorkerState worker, String function) {
            this.worker = worker;
            this.function = function;
        }
    }

    private boolean believedWarm(WorkerState w, String function) {
        Entry e = w.warm.get(function);
        return e != null && (e.inFlight > 0 || e.ordered || now - e.lastSend < keepNanos);
    }

    private boolean loading(WorkerState w, String function) {
        Entry e = w.warm.get(function);
        return e != null && e.ordered && e.loading;
    }

    private boolean standing(WorkerState w, String function) {
        return believedWarm(w, function) && !loading(w, function);
    }

    /** Counts a call and tells the share of own calls that its function had before. */
    private double countCall(Request request) {
        Known count = calls.get(request.function());
        if (count == null) {
            lookOver();
            calls.put(request.function(), count = new Known(request));
            place(count);
        }
        double share = count.at(now) / (allCalls.at(now) + SHARE_PRIOR);
        count.add(1, now);
        allCalls.add(1, now);
        return share;
    }

    private Entry record(WorkerState w, Request request) {
        Entry e = w.warm.get(request.function());
        if (e == null || !believedWarm(w, request.function())) {
            Optional.ofNullable(e).ifPresent(this::forget);
            e = new Entry(w, request.function());
            e.loading = true;
            e.memoryMb = request.memoryMb();
            w.warm.put(request.function(), e);
            holding(request.function()).add(w);
        }
        e.lastSend = now;
        e.loadNanos = request.loadMillis() > 0 ? (long) (request.loadMillis() * MS) : LOAD_UNTOLD;
        return e;
    }

    private TreeSet<WorkerState> holding(String function) {
        return holders.computeIfAbsent(function, f -> new TreeSet<>(BY_PLACE));
    }

    private void lapse() {
        actions.scheduleTimer(LAPSE_TOKEN, LAPSE);
        for (WorkerState w : List.copyOf(workers.values())) {
            for (Entry e : List.copyOf(w.warm.values())) {
                boolean stuck = e.ordered && now - e.orderedAt > ORDER_PATIENCE * e.loadNanos;
                if (stuck && !pendingOrders.contains(e)) {
                    if (w.heardAt <= e.orderedAt) { eject(w, "silent"); }
                    dropEntry(e);
                } else if (e.waiting.isEmpty() && !believedWarm(w, e.function)) { forget(e); }
            }
        }
        workers.values().removeIf(w -> !w.up && w.inFlight == 0 && w.warm.isEmpty());
        withinRation(); // forgets
        holders.values().removeIf(TreeSet::isEmpty);
        if (calls.values().removeIf(k -> k.at(now) < 0.05 && unplace(k))) { placeAll(k -> k.at > 0); }
        firstHomes.keySet().retainAll(calls.keySet());
    }

    private void forget(Entry e) {
        if (e.worker.warm.remove(e.function, e)) { holding(e.function).remove(e.worker); }
    }

    private void dropEntry(Entry e) {
        forget(e);
        pendingOrders.remove(e);
        release(e, true);
    }

    private void release(Entry e, boolean elsewhere) {
        List<RequestState> waiting = List.copyOf(e.waiting);
        e.waiting.clear();
        for (RequestState r : waiting) {
            r.waitsFor = null;
            r.tried.addAll(elsewhere ? List.of(e.worker) : List.of());
            route(r);
        }
    }

    @Override public List<WorkerSnapshot> workerStates(long at, String function) {
        now = at;
        return workers.values().stream().map(w -> new WorkerSnapshot(w.id, w.up, w.ejected, cold(w),
            standing(w, function), loading(w, function), belowLimit(w, 1), w.inFlight, w.limit, load(w),
            w.failures)).toList();
    }

    // ---- 2. Ranking -------------------------------------------------------------------------

    // The design's order: believed warm, below the limit and with a free lane, then the home among workers
    // below it, then the fewest in flight. Departure: at the load limit a spill stays on warm workers.
    private WorkerState rank(RequestState r) {
        String function = r.request.function();
        rankings++;
        some.clear();
        some.addAll(holding(function));
        some.removeIf(w -> !mayGet(w));
        int homes = homes(r);
        List<WorkerState> like = homes == 0 ? some : withHomes(r, homes);
        WorkerState warm = fewest(like, function, w -> (w.homeMark == rankings || standing(w, function))
            && belowLimit(w, 1) && freeLane(w, r.request));
        // Departure: while no order is out or waits, a call for a worker that tells more in flight than its
        // size, and than most, orders a further copy: hot functions crowd it else. At worst a load is wasted.
        boolean idle = onlyOrdersLoad() && loadsOut + pendingOrders.size() == 0;
        if (warm != null && !(idle && slow(warm) && load(warm) > 1)) { return warm; }
        WorkerState ahead = onlyOrdersLoad() ? null
            : fewest(some, function, w -> loading(w, function) && belowLimit(w, 1));
        if (ahead != null) { return ahead; } // ordered for it: another home would load a second copy
        Predicate<WorkerState> lacks = w -> mayGet(w) && !believedWarm(w, function) && belowLimit(w, 1);
        WorkerState place = placeOf(function);
        WorkerState home = place != null && lacks.test(place) ? place
            : home(function, r.hash, w -> lacks.test(w) && roomy(w, r.request.memoryMb()));
        if (onlyOrdersLoad()) {
            warm = fewest(some, function, w -> standing(w, function) && belowLimit(w, 1));
            if (warm != null && home != null && some.stream().noneMatch(w -> loading(w, function))) {
                order(record(home, r.request));
            }
            boolean stands = some.stream().anyMatch(w -> standing(w, function)); // else a load is waited for
            warm = warm != null || stands ? warm : fewest(some, function, w -> loading(w, function));
        } else if (crowdsStore()) {
            warm = fewest(some, function, w -> believedWarm(w, function) && belowLimit(w, 1));
        }
        warm = warm != null ? warm : home != null ? home : fewest(some, function, w -> standing(w, function));
        warm = warm != null || place == null || !mayGet(place) ? warm : place;
        warm = warm != null ? warm : home(function, r.hash, lacks);
        return warm != null ? warm : fewest(ready, function, w -> true);
    }

    // Departure: a function has a place: the first of its homes whose told memory holds it beside others that
    // score better there (deferred acceptance: front ends that know like functions derive like places). A
    // further copy loads only where memory is left beside them, what misses elsewhere goes to its place. Acts
    // where memory is told; guards against copies of hot functions that push out the last ones of cold ones,
    // after which all load and nobody finds back. Hurts where a hot function's further copy is worth more.
    private boolean roomy(WorkerState w, double memoryMb) {
        return memoryMb + w.homedMb + w.warm.values().stream().filter(e -> placeOf(e.function) != w)
            .mapToDouble(e -> e.memoryMb).sum() <= room(w);
    }

    /** Its place, or where it has none and stands nowhere else. */
    private boolean belongs(WorkerState w, String function) {
        WorkerState place = placeOf(function);
        return place != null ? place == w
            : holding(function).stream().noneMatch(other -> other != w && standing(other, function));
    }

    private WorkerState placeOf(String f) { return calls.containsKey(f) ? calls.get(f).place : null; }

    private boolean unplace(Known k) {
        if (k.place != null && k.place.homed.remove(k)) { k.place.homedMb -= k.memoryMb; }
        k.place = null;
        return true;
    }

    private void placeAll(Predicate<Known> which) {
        List<Known> anew = calls.values().stream().filter(which).toList();
        anew.forEach(this::unplace);
        anew.forEach(this::place);
    }

    private void place(Known first) {
        Known k = first;
        for (k.at = 0; k != null && k.at < ready.size();) {
            WorkerState w = k.at == 0 ? home(k.function, k.hash, other -> true)
                : firstHomes(k.function, k.hash, k.at + 1)[k.at];
            k.place = w;
            w.homed.add(k);
            w.homedMb += k.memoryMb;
            k = w.homedMb <= room(w) ? null
                : Collections.min(w.homed, Comparator.comparingDouble(o -> uniform(w, o.hash)));
            if (k != null && unplace(k)) { k.at++; }
        }
    }

    private double room(WorkerState w) { // MB; where it is not told, without bound
        int kind = settings.kinds() == null ? -1 : settings.kinds().indexOf(w.told.kind());
        List<Double> told = settings.functionLoading().memoryMbByKind();
        return kind < 0 || told == null || kind >= told.size() || told.get(kind) <= 0 ? Double.MAX_VALUE
            : told.get(kind);
    }

    /** A worker that loads by itself starts a copy for one that waits; where only orders do, one may. */
    private boolean freeLane(WorkerState w, Request request) {
        Entry e = w.warm.get(request.function());
        return e == null || e.inFlight < (onlyOrdersLoad() ? 2 : 1) * Math.max(1, request.concurrencyPerCopy());
    }

    /** The one with the fewest own in flight of those that qualify (few), random among equals; or null. */
    private WorkerState fewest(List<WorkerState> among, String function, Predicate<WorkerState> fits) {
        WorkerState best = null;
        int ties = 0;
        for (WorkerState w : among) {
            int order = !mayGet(w) || !fits.test(w) ? 1 : best == null ? -1 : compare(w, best, function);
            if (order <= 0) {
                ties = order < 0 ? 1 : ties + 1;
                best = ties == 1 || random.nextInt(ties) == 0 ? w : best;
            }
        }
        return best;
    }

    // Departure: front ends derive one order of homes for a function (rendezvous hashing in proportion to
    // told sizes), so that those that share nothing, and a restarted one, meet there. Least first.
    private static double homeScore(WorkerState w, long hash) {
        return -Math.log(uniform(w, hash)) / size(w);
    }

    private static double uniform(WorkerState w, long hash) {
        return ((mix(w.hash ^ hash) >>> 11) + 0.5) / (1L << 53);
    }

    private static double size(WorkerState w) { return w.told.weight() > 0 ? w.told.weight() : 1; }

    private WorkerState home(String function, long hash, Predicate<WorkerState> fits) { // the first, or null
        for (WorkerState w : firstHomes.getOrDefault(function, new WorkerState[0])) {
            if (fits.test(w)) { return w; }
        }
        WorkerState first = null;
        double least = Double.POSITIVE_INFINITY;
        for (WorkerState w : ready) { // a logarithm is dear: most are known for worse by its bound
            double score = 1 - uniform(w, hash) >= least * size(w) ? least : homeScore(w, hash);
            if (score < least && fits.test(w)) {
                least = score;
                first = w;
            }
        }
        return first;
    }

    /** So many homes, and those that hold the function, by place. */
    private List<WorkerState> withHomes(RequestState r, int homes) {
        near.clear();
        for (int most = HOMES_KEPT + 2 * homes; near.size() < homes; most *= 2) {
            for (WorkerState w : firstHomes(r.request.function(), r.hash, most)) {
                if (near.size() < homes && w.homeMark != rankings && mayGet(w)) {
                    w.homeMark = rankings;
                    near.add(w);
                }
            }
        }
        some.stream().filter(w -> w.homeMark != rankings).forEach(near::add);
        near.sort(BY_PLACE);
        return near;
    }

    /** At least so many, as far as there are: kept until the list changes, to sort a fleet is dear. */
    private WorkerState[] firstHomes(String function, long hash, int most) {
        WorkerState[] known = firstHomes.get(function);
        if (known == null || known.length < Math.min(most, ready.size())) {
            ready.forEach(w -> w.homeScore = homeScore(w, hash));
            known = ready.toArray(new WorkerState[0]);
            Arrays.sort(known, Comparator.comparingDouble(w -> w.homeScore));
            known = Arrays.copyOf(known, Math.min(2 * most, known.length));
            firstHomes.put(function, known);
        }
        return known;
    }

    // Departure: a function with a share of all calls needs that share of the workers: so many of its homes
    // count as believed warm. Guards against meeting on one full worker; one too high spends memory.
    private int homes(RequestState r) {
        int count = (int) (Math.min(1, SPREAD * unseen * r.share) * left);
        return onlyOrdersLoad() || count < 2 ? 0 : count;
    }

    // Own in flight; departure: where it is equal, as with many front ends, busy ones last (told load, slow
    // answers), the own warm list first (not for few, who see enough), then the least told load.
    private int compare(WorkerState a, WorkerState b, String function) {
        int order = a.inFlight != b.inFlight ? a.inFlight - b.inFlight : Boolean.compare(slow(a), slow(b));
        order = order != 0 || few == 1 ? order
            : Boolean.compare(standing(b, function), standing(a, function));
        return order != 0 ? order : Double.compare(load(a), load(b));
    }

    private boolean slow(WorkerState w) {
        return w.reportedAt > 0 ? load(w) > REPORT_BUSY * meanReported
            : now - w.sampledAt < 2 * SMOOTH_WINDOW && w.lateness > meanLateness;
    }

    /** What it told of all front ends' requests in flight, as far as own sends do not show it; it fades. */
    private double load(WorkerState w) {
        if (w.reportedAt == 0 || unseen == 0) { return meanReported; }
        double fresh = Math.exp((w.reportedAt - now) / (double) REPORT_MEMORY);
        return meanReported + unseen * fresh * (w.reported - meanReported);
    }

    private void learnReport(WorkerState w, Map<String, Double> report) {
        Double inFlight = report.get(REPORT_IN_FLIGHT);
        if (inFlight != null && inFlight >= 0) {
            w.reported = inFlight / size(w);
            w.reportedAt = now;
            meanReported += SMOOTH_USUAL * (w.reported - meanReported);
        }
    }

    /** Own requests, below one paced by the latency, and what the worker told of everybody's. */
    private boolean belowLimit(WorkerState w, double over) {
        return w.inFlight < Math.max(1, over * w.limit)
            && (w.limit >= 1 || (now - w.lastSentAt) * w.limit * over >= w.latencyNanos)
            && load(w) <= over * Math.max(REPORT_FULL * meanReported, REPORT_IDLE);
    }

    private static long mix(long x) {
        long z = x * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    private void adjustLimit(WorkerState w, RequestState r, long tookNanos) {
        double late = tookNanos / (double) r.aim;
        double weight = Math.max(SMOOTH_LATENCY, 1 - Math.exp((w.sampledAt - now) / (double) SMOOTH_WINDOW));
        w.sampledAt = now;
        w.latencyNanos += weight * (tookNanos - w.latencyNanos);
        w.lateness += weight * (late - w.lateness);
        meanLateness += SMOOTH_USUAL * (late - meanLateness);
        if (w.lateness > LIMIT_HIGH && now - w.limitCutAt > w.lateness * r.aim) {
            cutLimit(w);
        } else if (w.lateness < LIMIT_LOW && (w.limit <= 1 || w.inFlight >= w.limit / 2)) {
            w.limit = w.limit < LIMIT_PACE ? w.limit / LIMIT_PACE : w.limit + LIMIT_STEP;
        }
    }

    // Departure: a front end that sends to a worker seldom must feel a cut, so it at least doubles the own
    // interval there. Guards against many that return too soon; one bad answer idles a good worker.
    private void cutLimit(WorkerState w) {
        double own = Math.max(few, w.latencyNanos / Math.max(w.latencyNanos, w.gapNanos)); // mean own in flight there
        w.limit = w.limit > 1 ? w.limit * LIMIT_CUT
            : Math.max(LIMIT_MIN, LIMIT_PACE * Math.min(w.limit, own));
        w.limitCutAt = now;
    }

    // ---- 3. Eligibility ---------------------------------------------------------------------

    /** Told anew once a worker came, went, was judged otherwise or is cold no more. */
    private void lookOver() {
        if (now >= readyUntil) {
            readyUntil = Long.MAX_VALUE;
            ready.clear();
            odd.clear();
            workers.values().stream().filter(w -> w.up).forEach(ready::add);
            ready.stream().filter(w -> w.ejected || cold(w)).forEach(odd::add);
            odd.stream().filter(this::cold).forEach(w -> readyUntil = Math.min(readyUntil,
                w.told.startedAt() + settings.protectionRules().slowStartNanos()));
            if (stale) {
                stale = false;
                placeAll(k -> true);
            }
        }
    }

    private boolean mayGet(WorkerState w) { return w.up && w.mark != marks; }

    private void leaveOut(WorkerState w) {
        left -= mayGet(w) ? 1 : 0;
        w.mark = marks;
    }

    /** Marks the workers that may not get this request now; ejected ones where the others are not too few. */
    private boolean eligible(RequestState r) {
        lookOver();
        marks++;
        left = ready.size();
        if (odd.isEmpty() && r.attempts.isEmpty() && r.tried.isEmpty()) { return left > 0; } // at no cost
        (r.exposed.isEmpty() && !r.done ? odd : ready).stream() // of a first send the rest may all get it
            .filter(w -> !mayResend(r, w) || !withinColdBudget(w)).forEach(this::leaveOut);
        long ejected = odd.stream().filter(w -> w.ejected && mayGet(w)).count();
        if (ejected > 0 && left - ejected >= MOST * up) {
            odd.stream().filter(w -> shut(w, r)).forEach(this::leaveOut);
        }
        if (r.tried.stream().filter(this::mayGet).count() < left) { r.tried.forEach(this::leaveOut); }
        return left > 0;
    }

    /** An ejected worker: after its pause one safe first send at a time shows whether it is well. */
    private boolean shut(WorkerState w, RequestState r) {
        return w.ejected && (now < w.trialAt || w.lastSentAt >= w.trialAt || trialTokens < 1
            || !r.attempts.isEmpty() || r.type.effect() != Effect.IDEMPOTENT);
    }

    private void eject(WorkerState w, String symptom) {
        if (!w.ejected) {
            w.ejected = true;
            readyUntil = 0;
            w.trialAt = now + w.pause;
            actions.logDiagnostic("ejected " + w.id + " " + symptom);
        }
    }

    private void restore(WorkerState w) {
        w.ejected = false;
        readyUntil = 0;
        w.failures = 0;
        w.overdue = 0;
        w.pause = EJECT_FIRST;
    }

    private void judge(Attempt a, AttemptCompletion c) {
        WorkerState w = a.worker;
        boolean alive = c.outcome() == Outcome.SATURATED || c.outcome() == Outcome.NOT_LOADED;
        w.heardAt = alive || c.outcome() == Outcome.SERVED || c.outcome() == Outcome.ERROR ? now : w.heardAt;
        if (c.outcome() == Outcome.SATURATED) {
            w.limit = Math.min(w.limit, w.inFlight + 1);
            cutLimit(w);
        }
        // A time-out tells nothing new. Departure: nor does an error on what nobody served and another failed
        // too: it is the caller's. It hurts where all fail what is new, until one serves it.
        Known known = calls.get(a.request.request.function());
        boolean unserved = c.outcome() == Outcome.ERROR && known != null && known.erred != null;
        if (unserved) { known.erred.add(w); }
        if (known != null && c.outcome() == Outcome.SERVED) { known.erred = null; }
        alive |= c.outcome() == Outcome.TIMEOUT || unserved && known.erred.size() > 1;
        if (alive || c.outcome() == Outcome.CANCELLED || c.outcome() == Outcome.SUPERSEDED) {
            trialEnded(a, c.outcome() != Outcome.NOT_LOADED); // a miss is an answer; a full one may hang
            return;
        }
        served.add(c.outcome() == Outcome.SERVED ? 1 : 0, now);
        boolean bad = c.outcome() != Outcome.SERVED && c.cacheStatus() != CacheStatus.LOAD_FAILED;
        w.failures += SMOOTH_FAILURES * ((bad ? 1 : 0) - w.failures);
        if (!bad && (c.cacheStatus() == CacheStatus.UNKNOWN || c.cacheStatus() == CacheStatus.HIT)) {
            usual.get(a.request.type.name()).learn(c.tookNanos() / Math.max(1.0, a.request.request.costNanos()));
            adjustLimit(w, a.request, c.tookNanos());
        }
        boolean timely = !bad && c.tookNanos() <= a.patience;
        w.overdue = timely ? 0 : w.overdue;
        if (w.ejected && a.sentAt >= w.trialAt) {
            trialEnded(a, !timely);
        } else if (w.ejected && timely && w.failures <= FAILING) {
            restore(w);
        } else if (bad && w.failures > FAILING) { eject(w, "failing"); }
    }

    /** Of one that is ejected: sent after its pause, and so its trial. */
    private void trialEnded(Attempt a, boolean bad) {
        WorkerState w = a.worker;
        if (w.ejected && a.sentAt >= w.trialAt && bad) {
            w.pause = Math.min(EJECT_LAST, 2 * w.pause);
            w.trialAt = now + w.pause;
        } else if (w.ejected && a.sentAt >= w.trialAt) { restore(w); }
    }

    private boolean cold(WorkerState w) {
        return w.told.startedAt() > 0 && now - w.told.startedAt() < settings.protectionRules().slowStartNanos();
    }

    // Rule 4: a cold worker gets tokens at the told multiple of its present share of a warm worker's answers
    // to this dispatcher. Not of arrivals: answers, summed over all, never exceed capacity.
    private boolean withinColdBudget(WorkerState w) {
        if (!cold(w)) { return true; }
        ProtectionRules rules = settings.protectionRules();
        double age = Math.max(0, now - w.told.startedAt()) / (double) rules.slowStartNanos();
        double share = rules.slowStartFrom() + (1 - rules.slowStartFrom()) * age;
        double perNanos = COLD_MARGIN * rules.overloadFactor() * share * served.at(now) / RATE_WINDOW
            * Math.min(1.0 / up, size(w) / sizes); // one that is told to be smaller than most bears less
        // a fleet that is cold as a whole must start: one for the group, kept. Others lapse after the span:
        double least = 1.0 / rules.slowStartNanos() / Math.max(1, settings.groupSize());
        double per = Math.max(perNanos, least), span = per * rules.overloadWindowNanos();
        // what many did not send must not fall on one window; hurts where calls for the worker are rarer
        boolean lapses = perNanos > least && span < 1;
        double most = lapses ? 1 + span : Math.max(1, span / 2), had = w.coldTokens + per * (now - w.coldAt);
        w.coldTokens = lapses && had > most ? had - Math.floor(had - span) : Math.min(most, had);
        w.coldAt = now;
        return w.coldTokens >= 1;
    }

    // ---- 4. Attempts ------------------------------------------------------------------------

    /** Rule 2, for every path: may this request be sent to this worker now? */
    private boolean mayResend(RequestState r, WorkerState w) {
        if (r.done || r.live > 0 && !settings.limits().hedging()) { return false; }
        return r.type.effect() == Effect.IDEMPOTENT || r.exposed.isEmpty()
            || r.type.effect() == Effect.DEDUPLICATED && r.exposed.stream().allMatch(a -> sameGroup(r.type,
            a.worker, w) && now - a.sentAt < r.type.deduplicationWindowNanos() - 2 * settings.tickNanos());
    }

    /** Rule 2: may the client be told that a retry is harmless? */
    private boolean mayRefuse(RequestState r) {
        return r.exposed.isEmpty() || r.type.effect() == Effect.IDEMPOTENT
            || r.type.effect() == Effect.DEDUPLICATED && r.type.deduplicationScope() == DeduplicationScope.ALL;
    }

    private static boolean sameGroup(RequestClass type, WorkerState a, WorkerState b) {
        return type.deduplicationScope() == DeduplicationScope.ALL || (type.deduplicationScope() == DeduplicationScope.ZONE
            ? Objects.equals(a.told.zone(), b.told.zone()) : a.told.cell() == b.told.cell());
    }

    private void route(RequestState r) {
        if (r.shed || r.attempts.size() >= settings.limits().maxAttempts()) {
            decline(r);
            return;
        }
        WorkerState w = eligible(r) ? rank(r) : null;
        boolean paced = w != null && crowdsStore() && !onlyOrdersLoad()
            && !believedWarm(w, r.request.function());
        if (mayStillRun(r) && w == null) {
            held.add(r);
            setSweep();
            return;
        }
        Entry e = w == null ? null : w.warm.get(r.request.function());
        if (!r.looked && w != null && isUnknown(r.request.function())) {
            ask(r);
        } else if (e != null && e.ordered && e.loading && onlyOrdersLoad()) {
            await(r, e);
        } else if (w == null || paced || refuses()
            || standing(w, r.request.function()) && !belowLimit(w, REFUSE_OVER)) {
            decline(r);
        } else if (crowdsStore() && !onlyOrdersLoad() && standing(w, r.request.function())
            && !freeLane(w, r.request) && now - r.arrived < LANE_WAIT * r.aim) {
            held.add(r); // no other may load now, and behind a taken lane this one would
            setSweep();
        } else if (!looks(r, w)) { send(r, w); }
    }

    // Departure: what is believed to stand nowhere is asked for at its first homes (an order of none) before
    // a first send. Acts in small groups whose workers load on call. Guards one that starts anew, or whose
    // list changed, against loads beside copies that stand; costs messages, LOOK_WAIT where one is silent.
    private boolean isUnknown(String function) {
        Known k = calls.get(function);
        return mayAsk && k != null && now - k.noneAt > LOAD_UNTOLD
            && some.stream().noneMatch(w -> standing(w, function));
    }

    private void ask(RequestState r) {
        r.looked = looking.add(r);
        for (WorkerState w : firstHomes(r.request.function(), r.hash, ASK_MOST)) {
            if (mayGet(w) && r.looks.size() < ASK_MOST && r.looks.add(w)
                && asked.putIfAbsent(w.id + ' ' + r.request.function(), r.request) == null) {
                actions.ensureLoaded(w.id, r.request.function(), 0);
            }
        }
        actions.scheduleTimer(LOOK_TOKEN + r.request.id(), LOOK_WAIT);
    }

    private void told(WorkerState w, Request asker, boolean stands) {
        if (!stands && calls.containsKey(asker.function())) { calls.get(asker.function()).noneAt = now; }
        // where memory is short, a copy out of its place is left to go: it pushes out others
        if (stands && w.up && !believedWarm(w, asker.function())
            && (roomy(w, asker.memoryMb()) || belongs(w, asker.function()))) {
            Entry e = record(w, asker);
            e.loading = false;
            e.lastSend = now - keepNanos + e.loadNanos; // may go soon: believed for what a load would take
        }
        List.copyOf(looking).stream().filter(r -> r.request.function().equals(asker.function())
            && r.looks.remove(w) && (stands || r.looks.isEmpty())).forEach(this::lookEnds);
    }

    // Departure: before a first send the next two workers are probed, unless their load was told just now,
    // and ranked anew. Acts where probes tell load, the group is large and not most is full. Guards against
    // front ends that meet on a busy worker, whatever keeps it busy; costs two probes, and LOOK_WAIT at most.
    private boolean looks(RequestState r, WorkerState w) {
        if (!mayLook || r.looked || saturatedShare() > PRESSURE_FREE) { return false; }
        r.looked = true;
        leaveOut(w);
        for (WorkerState next : left == 0 ? List.of(w) : List.of(w, rank(r))) {
            if (next.reportedAt == 0 || now - next.reportedAt > LOOK_FRESH) {
                if (looking.stream().noneMatch(o -> o.looks.contains(next))) { actions.probe(next.id); }
                r.looks.add(next);
                looking.add(r);
            }
        }
        if (!r.looks.isEmpty()) { actions.scheduleTimer(LOOK_TOKEN + r.request.id(), LOOK_WAIT); }
        return !r.looks.isEmpty();
    }

    @Override
    public void onProbeCompleted(long at, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
        now = at;
        WorkerState w = workers.get(worker);
        if (w != null) {
            learnReport(w, report);
            List.copyOf(looking).stream().filter(r -> r.looks.remove(w) && r.looks.isEmpty())
                .forEach(this::lookEnds);
        }
    }

    /** Workers whose probes are late (not so what was asked) are taken for saturated; the request goes on. */
    private void lookEnds(RequestState r) {
        if (r != null && looking.remove(r)) {
            for (WorkerState w : mayLook ? r.looks : Set.<WorkerState>of()) {
                w.reported = Math.max(w.reported, REPORT_FULL * meanReported);
                w.reportedAt = now;
            }
            r.looks.clear();
            route(r);
        }
    }

    private boolean mayStillRun(RequestState r) {
        return r.live == 0 && (r.exposed.isEmpty() || r.type.effect() != Effect.AT_MOST_ONCE);
    }

    private void send(RequestState r, WorkerState w) {
        Entry e = record(w, r.request);
        boolean loads = e.loading && e.inFlight == 0 && !onlyOrdersLoad();
        Attempt a = new Attempt(r, w, r.attempts.size(), now, patience(r, e), loads);
        e.inFlight++;
        w.inFlight++;
        w.gapNanos = w.lastSentAt == 0 ? 0 : now - w.lastSentAt;
        w.lastSentAt = now;
        trialTokens -= w.ejected ? 1 : 0;
        w.coldTokens -= cold(w) ? 1 : 0;
        r.attempts.add(a);
        r.exposed.add(a);
        r.live++;
        held.remove(r);
        loadsOut += a.loads ? 1 : 0;
        actions.sendAttempt(r.request.id(), w.id, 0);
        actions.scheduleTimer(a.index + ":" + r.request.id(), a.patience);
    }

    private long patience(RequestState r, Entry e) {
        double usualNanos = PATIENCE_WORK * usual.get(r.type.name()).of(r.request);
        double load = e.loading && !onlyOrdersLoad() ? PATIENCE_LOAD * e.loadNanos : 0;
        return (long) (Math.max(PATIENCE_AIM * r.aim, usualNanos) + load);
    }

    private void settle(Attempt a, AttemptCompletion c) {
        RequestState r = a.request;
        WorkerState w = a.worker;
        w.inFlight--;
        r.live--;
        boolean wasServed = c.outcome() == Outcome.SERVED;
        // Departure: a broken connection tells nothing of copies or the store: what is believed stays. Guards
        // against networks that reset; hurts where a worker starts anew before the list says so: a load more.
        boolean broke = c.outcome() == Outcome.RESET || c.outcome() == Outcome.CONNECT_FAILED;
        if (a.loads && broke) { loadsOut--; }
        if (a.loads && !broke) {
            double began = c.cacheStatus() == CacheStatus.HIT ? 0 : 1;
            loadChance += SMOOTH_LOADS * (began - loadChance);
            loaded(wasServed && c.tookNanos() <= a.patience);
        }
        if (NEVER_RAN.contains(c.outcome())) { r.exposed.remove(a); }
        Entry e = w.warm.get(r.request.function());
        if (e != null) {
            e.inFlight = Math.max(0, e.inFlight - 1);
            boolean gone = !onlyOrdersLoad() && !wasServed // no copy is known: the next send counts as a load
                && !broke && c.outcome() != Outcome.ERROR && c.outcome() != Outcome.SATURATED;
            if (c.cacheStatus() == CacheStatus.LOAD_FAILED || gone) {
                dropEntry(e);
            } else if (wasServed) {
                e.loading = e.ordered;
                e.lastSend = c.cacheStatus() == CacheStatus.HIT ? now : e.lastSend;
                if (c.cacheStatus() == CacheStatus.LOAD_STARTED && !roomy(w, 0) && !belongs(w, e.function)) { dropEntry(e); }
            }
        }
        pressure(a, c);
        judge(a, c);
    }

    private void again(RequestState r, Attempt a, AttemptCompletion c) {
        boolean lacks = c.outcome() == Outcome.NOT_LOADED && onlyOrdersLoad() && c.cacheStatus() != CacheStatus.LOAD_FAILED;
        String function = r.request.function();
        boolean elsewhere = lacks && holding(function).stream().anyMatch(w -> w != a.worker && w.up
            && !w.ejected && standing(w, function) && belowLimit(w, 1)); // a load takes longer than a send
        if (lacks && !elsewhere && a.worker.up && (roomy(a.worker, 0) || belongs(a.worker, function))) {
            Entry e = record(a.worker, r.request);
            e.loading = true;
            await(r, e);
            order(e);
            return;
        }
        r.tried.add(a.worker);
        if (lacks && standing(a.worker, function)) { dropEntry(a.worker.warm.get(function)); }
        double cost = lacks ? 0 : 1;
        boolean may = c.outcome() != Outcome.SUPERSEDED && retryTokens >= cost && mayStillRun(r);
        retryTokens -= may ? cost : 0;
        if (may) { route(r); } else { decline(r); }
    }

    /** No answer within patience: the worker may hang. */
    private void overdue(RequestState r, int index) {
        Attempt a = r.attempts.get(index);
        boolean over = r.done && r.live == 0 || !r.exposed.contains(a);
        if (over || now - a.sentAt - a.patience > STALL) { return; }
        boolean silent = a.worker.heardAt <= a.sentAt;
        if (++a.worker.overdue >= OVERDUE) { eject(a.worker, silent ? "silent" : "slow"); }
        trialEnded(a, true);
        if (r.done || r.streaming || retryTokens < 1 || r.attempts.size() >= settings.limits().maxAttempts()
            || r.type.effect() == Effect.AT_MOST_ONCE || index != r.attempts.size() - 1
            || !silent && !a.worker.ejected) { return; }
        r.tried.add(a.worker);
        if (settings.limits().hedging() && eligible(r) && !mayGet(a.worker) && !refuses()) {
            retryTokens--;
            send(r, rank(r));
        } else if (!settings.limits().hedging() && settings.limits().cancellation()) {
            actions.cancelAttempt(r.request.id(), index);
        }
    }

    private void await(RequestState r, Entry e) {
        e.waiting.add(r);
        r.waitsFor = e;
        held.add(r);
        setSweep();
    }

    private void retryHeld() {
        for (RequestState r : List.copyOf(held)) { // only those that can go: to rank all each time is dear
            if (hopeless(r)) {
                decline(r);
            } else if (r.waitsFor == null) {
                held.remove(r);
                route(r);
            }
        }
    }

    /** What it waits for can no longer serve it in time: it gets its answer now, not at its deadline. */
    private boolean hopeless(RequestState r) {
        double needs = usual.get(r.type.name()).of(r.request)
            + (r.waitsFor != null && pendingOrders.contains(r.waitsFor) ? r.waitsFor.loadNanos : 0);
        return now + needs > r.arrived + r.request.remainingNanos();
    }

    private void finish(RequestState r) {
        r.done = true;
        held.remove(r);
        looking.remove(r);
        if (r.waitsFor != null) { r.waitsFor.waiting.remove(r); }
        if (r.live == 0) { requests.remove(r.request.id()); }
    }

    // ---- 5. Loads ---------------------------------------------------------------------------

    /** Of own sends that may load only those count that do, as seen: peers keep most functions warm. */
    private boolean crowdsStore() { return loadsOut * loadChance >= loadLimit; }

    @Override public boolean isCached(long at, String function) {
        now = at;
        return holding(function).stream().anyMatch(w -> w.up && !w.ejected && standing(w, function));
    }

    // Departure: a load ahead of its request. Acts where orders are allowed, none stands, loads or waits;
    // guards against a load inside a deadline; hurts where the request does not come: a fetch for nothing.
    @Override public void onRequestExpected(long at, Request request) {
        now = at;
        RequestClass type = classes.get(request.requestClass());
        boolean may = settings.functionLoading().loadOrdersAllowed() && pendingOrders.isEmpty() && !crowdsStore();
        if (type == null || !may) { return; }
        RequestState r = new RequestState(request, type, now, 0);
        eligible(r);
        if (holding(request.function()).stream()
            .noneMatch(w -> mayGet(w) && believedWarm(w, request.function()))) {
            Optional.ofNullable(home(request.function(), r.hash, w -> mayGet(w) && belowLimit(w, 1)))
                .ifPresent(w -> order(record(w, request)));
        }
    }

    private boolean onlyOrdersLoad() {
        return settings.functionLoading().onMiss() == OnMissBehavior.MISS && settings.functionLoading().loadOrdersAllowed();
    }

    private void order(Entry e) {
        if (!e.ordered) {
            e.ordered = true;
            e.orderedAt = now;
            pendingOrders.add(e);
            givePendingOrders();
        }
    }

    private void givePendingOrders() {
        while (!pendingOrders.isEmpty() && loadsOut < loadLimit && withinRation()) {
            Entry e = Collections.max(pendingOrders, Comparator.comparingInt(other -> other.waiting.size()));
            pendingOrders.remove(e);
            e.orderedAt = now;
            loadsOut++;
            orderTimes.add(now);
            actions.ensureLoaded(e.worker.id, e.function, 1);
        }
    }

    /** Rule 5: own orders of the told span, this one included, against own requests of that span. */
    private boolean withinRation() {
        FunctionLoading info = settings.functionLoading();
        orderTimes.removeIf(at -> at < now - info.loadQuotaPeriodNanos());
        arrivalTimes.removeIf(at -> at <= now - info.loadQuotaPeriodNanos());
        double ration = info.loadQuotaBase() + info.loadQuotaPerRequest() * arrivalTimes.size();
        return info.loadQuotaPeriodNanos() <= 0 || orderTimes.size() + 1 <= ration;
    }

    @Override
    public void onLoadCompleted(long at, String worker, String function, int count, Outcome outcome, long tookNanos) {
        now = at;
        WorkerState w = workers.get(worker);
        Request asker = asked.remove(worker + ' ' + function);
        if (asker != null && w != null) { told(w, asker, count > 0); }
        if (asker != null) { return; }
        Entry e = w == null ? null : w.warm.get(function);
        boolean stands = outcome == Outcome.SERVED || count > 0;
        loaded(stands && (e == null || tookNanos <= CROWDED * e.loadNanos));
        if (e != null) {
            e.ordered = false;
            if (stands) {
                w.heardAt = now;
                e.loading = false;
                e.lastSend = now;
                release(e, false);
            } else { dropEntry(e); }
        }
        givePendingOrders();
    }

    /** A load ended: the limit on loads out at once backs off when it took as long as in a crowd. */
    private void loaded(boolean smoothly) {
        loadsOut = Math.max(0, loadsOut - 1);
        loadLimit = !smoothly ? Math.max(LOADS_MIN, loadLimit * LOADS_CUT)
            : loadLimit + (loadsOut >= loadLimit / 2 ? 1 / loadLimit : 0);
    }

    // ---- 6. Admission -----------------------------------------------------------------------

    /** Even the least busy worker is so full that the answer would come too late. */
    private boolean refuses() {
        return ready.stream().noneMatch(w -> mayGet(w) && belowLimit(w, REFUSE_OVER));
    }

    private void pressure(Attempt a, AttemptCompletion c) { // a late load is no queue at a worker
        boolean full = c.outcome() == Outcome.TIMEOUT || c.outcome() == Outcome.SATURATED;
        if (!a.worker.ejected && (full || c.outcome() == Outcome.SERVED && !a.loads)) {
            answers.add(1, now);
            saturated.add(full || c.tookNanos() > a.request.aim ? 1 : 0, now);
        }
    }

    /** Overload: own answers (full, late) tell that queues are long all over; more would all be late. */
    private boolean sheds() {
        return random.nextDouble() < PRESSURE_SLOPE * (saturatedShare() - PRESSURE_FREE);
    }

    private double saturatedShare() { return saturated.at(now) / (answers.at(now) + PRESSURE_PRIOR); }

    private void decline(RequestState r) {
        if (mayRefuse(r)) {
            long most = settings.limits().retryAfter() ? settings.limits().maxRetryAfterNanos() : 0;
            actions.reject(r.request.id(), Math.min((long) (ADVICE * r.aim), most));
        } else if (r.live > 0 && now < r.arrived + r.request.remainingNanos() - 3 * settings.tickNanos()) {
            return; // the attempt still out may serve it; its end or the deadline decides
        } else {
            actions.fail(r.request.id());
        }
        finish(r);
    }
}

package wharfhinge.standin;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.WorkerProtocol;

/**
 * Simulated state of one emulated worker: copies in memory with their slots, a bounded queue, loads that consist of a fetch and a start, a
 * slow start during which overload kills the process, and load reports that are refreshed at intervals. Cores are simulated by stretching
 * the duration of each call by the ratio of running calls to cores at its start, where that is above one. Runs on one event loop;
 * faults may be set from any thread.
 */
public final class WorkerModel {
    private static final double FETCH_SHARE = 0.6;
    private static final double OVERLOAD_TOLERANCE = 1.25;
    private static final long MAX_WORK_US = 60_000_000;
    private static final long DEFAULT_WORK_US = 20_000;

    /**
     * Properties of a worker; times in milliseconds unless the name says otherwise, memory in MB.
     *
     * @param queue                calls that may wait for a slot
     * @param loadsAtOnce          loads that run concurrently
     * @param keepMillis           time after which an idle copy is evicted
     * @param loadsOnCall          whether a call for a function that is not loaded starts a load; otherwise it is answered as a miss
     * @param slowStartInitialShare             share of full capacity at the beginning of the slow start
     * @param slowStartMillis           length of the slow start
     * @param overloadFactor       multiple of its current capacity that a worker in slow start survives
     * @param overloadWindowMillis            window over which that work is summed
     * @param reportIntervalMillis interval at which the load report is refreshed
     * @param cold                 whether it begins in slow start
     * @param meanWorkUs           mean work of a call in microseconds
     */
    public record Spec(
            String zone,
            String kind,
            int cell,
            int cores,
            double speed,
            double memoryMb,
            int queue,
            int loadsAtOnce,
            long keepMillis,
            boolean loadsOnCall,
            double slowStartInitialShare,
            long slowStartMillis,
            double overloadFactor,
            long overloadWindowMillis,
            long reportIntervalMillis,
            boolean cold,
            long meanWorkUs,
            long seed) {}

    /** Sends the response of a call. */
    public interface Reply {
        /**
         * Sends a response.
         *
         * @param concurrentCalls calls of the same function that the worker held when this call arrived
         */
        void answer(AnswerCode code, CopyNote note, int concurrentCalls, byte[] body);

        /** Resets the stream instead of a response. */
        void reset();
    }

    /** A received call, or the properties of a function in a load order; {@code reply} is null in the latter case. */
    public static final class Call {
        private final String function;
        private final String id;
        private final int attempt;
        private final String callClass;
        private final String gateway;
        private final double memoryMb;
        private final int lanes;
        private final double loadMillis;
        private final long workUs;
        private final Reply reply;
        private CopyNote note = CopyNote.FOUND;
        private int concurrentCalls; // of the same function at arrival
        private boolean finished;

        private Call(String function, FullHttpRequest request, String gateway, Reply reply) {
            HttpHeaders headers = request.headers();
            this.function = function;
            this.id = headers.get(WorkerProtocol.CALL, "-");
            this.attempt = headers.getInt(WorkerProtocol.ATTEMPT.toString(), 0);
            this.callClass = headers.get(WorkerProtocol.CLASS, "-");
            this.gateway = gateway;
            this.memoryMb = Double.parseDouble(headers.get(WorkerProtocol.MEMORY_MB, "200"));
            this.lanes = headers.getInt(WorkerProtocol.LANES.toString(), 1);
            this.loadMillis = Double.parseDouble(headers.get(WorkerProtocol.LOAD_MS, "500"));
            // sent with steps of chains only; other calls carry the work in their body
            String costHeader = headers.get(WorkerProtocol.COST_US);
            long workInBody = request.content().readableBytes() < Long.BYTES
                    ? -1
                    : request.content().getLong(request.content().readerIndex());
            // otherwise the body is text typed by a user
            boolean hasWorkInBody = workInBody >= 0 && workInBody < MAX_WORK_US;
            this.workUs =
                    costHeader != null ? Long.parseLong(costHeader) : hasWorkInBody ? workInBody : DEFAULT_WORK_US;
            this.reply = reply;
        }

        static Call of(String function, FullHttpRequest request, String gateway, Reply reply) {
            return new Call(function, request, gateway, reply);
        }
    }

    private static final class Copy {
        private final String function;
        private final double memoryMb;
        private final int lanes;
        private boolean loading = true;
        private boolean stale;
        private int running;
        private long idleSince;

        Copy(Call functionSpec) {
            function = functionSpec.function;
            memoryMb = functionSpec.memoryMb;
            lanes = Math.max(1, functionSpec.lanes);
        }
    }

    private record Order(Call functionSpec, int count, BiConsumer<AnswerCode, Integer> onEnded) {}

    private final EventLoop loop;
    private final String id;
    private final Spec spec;
    private final HttpCaller store;
    private final Trace trace;
    private final Runnable onOverload;
    private final UniformRandomProvider random;
    private final Map<String, List<Copy>> copies = new LinkedHashMap<>();
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final ArrayDeque<Copy> loadQueue = new ArrayDeque<>();
    private final List<Order> orders = new ArrayList<>();
    private final Map<Copy, Double> loadMillis = new HashMap<>();
    private final ArrayDeque<Long> arrivalsInWindow = new ArrayDeque<>();
    private int incarnation;
    private boolean alive = true;
    private boolean draining;
    private int running;
    private int loadsInProgress;
    private long startedAt;
    private Map<String, Double> report = Map.of("rif", 0.0, "x0", 0.0, "q", 0.0, "x1", 0.0);
    private volatile boolean hanging;
    private volatile double errorShare;
    private volatile double lostShare;
    private volatile boolean resetsLostAnswers;
    private volatile double slowdown = 1;
    private volatile long handshakeMillis;
    private volatile long pausedUntil;
    private volatile Map<String, Integer> loadedByFunction = Map.of();
    private volatile int loadsBegun;

    WorkerModel(EventLoop loop, String id, Spec spec, HttpCaller store, Trace trace, Runnable onOverload) {
        this.loop = loop;
        this.id = id;
        this.spec = spec;
        this.store = store;
        this.trace = trace;
        this.onOverload = onOverload;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(spec.seed());
    }

    // ---- Faults, set from any thread --------------------------------------------------------

    /** Accepts calls without responding to any. */
    public void hang(boolean isHanging) {
        hanging = isHanging;
    }

    /** Answers this share of calls with an error, without work. */
    public void errors(double share) {
        errorShare = share;
    }

    /** Does the work but loses this share of the responses: sends nothing, or resets the stream. */
    public void loseAnswers(double share, boolean byReset) {
        lostShare = share;
        resetsLostAnswers = byReset;
    }

    /** Multiplies the duration of calls by a factor. */
    public void slowDown(double factor) {
        slowdown = factor;
    }

    /** Delays the setup of new connections. */
    public void slowHandshakes(long ms) {
        handshakeMillis = ms;
    }

    /** Pauses the process for a time. */
    public void pause(long ms) {
        pausedUntil = System.nanoTime() + ms * 1_000_000L;
    }

    /** Starts or ends draining: calls and load orders are rejected. */
    public void drain(boolean isDraining) {
        loop.execute(() -> draining = isDraining);
    }

    /** Invalidates the copies and loads of this share of the functions, as a new release of them does. */
    public void flush(double share) {
        loop.execute(() -> {
            for (List<Copy> ofFunction : copies.values()) {
                if (random.nextDouble() < share) {
                    ofFunction.forEach(copy -> copy.stale = true);
                    ofFunction.removeIf(copy -> !copy.loading && copy.running == 0);
                }
            }
        });
    }

    long handshakeMillis() {
        return handshakeMillis;
    }

    boolean isHanging() {
        return hanging;
    }

    // ---- Start, stop and maintenance --------------------------------------------------------

    void start() {
        loop.execute(() -> {
            begin(spec.cold());
            loop.scheduleAtFixedRate(
                    this::tick, spec.reportIntervalMillis(), spec.reportIntervalMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void begin(boolean cold) {
        long now = System.nanoTime();
        startedAt = cold ? now : now - spec.slowStartMillis() * 1_000_000L;
        trace.note(
                "start",
                "worker",
                id,
                "boot",
                boot(),
                "cold",
                cold,
                "cores",
                spec.cores(),
                "speed",
                spec.speed(),
                "zone",
                spec.zone(),
                "cell",
                spec.cell());
    }

    /** Loaded copies by function as of the last load report; thread-safe. */
    public Map<String, Integer> loadedCopies() {
        return loadedByFunction;
    }

    /** Loads begun by all incarnations; thread-safe. */
    public int loadsBegun() {
        return loadsBegun;
    }

    /** Identifies the incarnation of the process. */
    public String boot() {
        return "b" + incarnation;
    }

    void stop() {
        alive = false;
        incarnation++;
        copies.clear();
        queue.clear();
        loadQueue.clear();
        orders.clear();
        loadMillis.clear();
        arrivalsInWindow.clear();
        running = 0;
        loadsInProgress = 0;
        trace.note("died", "worker", id);
    }

    void restart() {
        alive = true;
        draining = false;
        begin(true);
    }

    private void tick() {
        if (!alive) {
            return;
        }
        long now = System.nanoTime();
        for (List<Copy> ofFunction : copies.values()) {
            ofFunction.removeIf(
                    c -> !c.loading && c.running == 0 && now - c.idleSince > spec.keepMillis() * 1_000_000L);
        }
        Map<String, Integer> loadedCopies = new HashMap<>();
        copies.forEach((function, ofFunction) -> loadedCopies.put(
                function, (int) ofFunction.stream().filter(c -> !c.loading).count()));
        loadedByFunction = loadedCopies;
        double busy = 0;
        for (List<Copy> ofFunction : copies.values()) {
            for (Copy c : ofFunction) {
                busy += c.loading || c.running > 0 ? c.memoryMb : 0;
            }
        }
        report = Map.of(
                "rif",
                (double) (running + queue.size()),
                "x0",
                busy / spec.memoryMb(),
                "q",
                (double) queue.size(),
                "x1",
                (double) (loadsInProgress + loadQueue.size()));
    }

    Map<String, Double> report() {
        return report;
    }

    /** Handles an incoming message now, or when the current pause ends. */
    void runUnlessPaused(Runnable action) {
        long wait = pausedUntil - System.nanoTime();
        int scheduledBy = incarnation;
        if (wait <= 0) {
            action.run();
        } else {
            loop.schedule(
                    () -> {
                        if (scheduledBy == incarnation) {
                            action.run();
                        }
                    },
                    wait,
                    TimeUnit.NANOSECONDS);
        }
    }

    private void after(double ms, Runnable action) {
        int scheduledBy = incarnation;
        loop.schedule(
                () -> {
                    if (scheduledBy == incarnation) {
                        runUnlessPaused(action);
                    }
                },
                (long) (ms * 1000),
                TimeUnit.MICROSECONDS);
    }

    // ---- Calls ------------------------------------------------------------------------------

    void call(Call call) {
        trace.note(
                "recv",
                "worker",
                id,
                "call",
                call.id,
                "attempt",
                call.attempt,
                "gw",
                call.gateway,
                "class",
                call.callClass,
                "fn",
                call.function,
                "work_us",
                call.workUs);
        if (isOverloaded()) {
            trace.note("tip", "worker", id);
            onOverload.run();
            return;
        }
        runUnlessPaused(() -> {
            if (draining) {
                finish(call, AnswerCode.FULL, CopyNote.NONE);
            } else if (hanging) {
                return;
            } else if (random.nextDouble() < errorShare) {
                trace.note("run", "worker", id, "call", call.id, "attempt", call.attempt);
                after(1, () -> finish(call, AnswerCode.ERROR, CopyNote.NONE));
            } else {
                startOrQueue(call);
            }
        });
    }

    /**
     * Whether a call overloads a worker in slow start. Each call counts as the mean work, as in rule 4, since the sender does not know its
     * real cost.
     */
    private boolean isOverloaded() {
        long now = System.nanoTime();
        double age = (now - startedAt) / 1e6 / spec.slowStartMillis();
        if (age >= 1) {
            arrivalsInWindow.clear();
            return false;
        }
        arrivalsInWindow.add(now);
        while (now - arrivalsInWindow.peek() > spec.overloadWindowMillis() * 1_000_000L) {
            arrivalsInWindow.poll();
        }
        double sum = arrivalsInWindow.size() * spec.meanWorkUs() / 1000.0;
        double capacity =
                spec.cores() * spec.speed() * (spec.slowStartInitialShare() + (1 - spec.slowStartInitialShare()) * age);
        return sum > OVERLOAD_TOLERANCE * spec.overloadFactor() * capacity * spec.overloadWindowMillis();
    }

    private int concurrentCalls(String function) {
        int waiting =
                (int) queue.stream().filter(c -> c.function.equals(function)).count();
        return Math.min(
                30,
                waiting + copiesOf(function).stream().mapToInt(c -> c.running).sum());
    }

    private List<Copy> copiesOf(String function) {
        return copies.computeIfAbsent(function, f -> new ArrayList<>());
    }

    private Copy freeCopyOf(String function) {
        for (Copy c : copiesOf(function)) {
            if (!c.loading && !c.stale && c.running < c.lanes) {
                return c;
            }
        }
        return null;
    }

    private void startOrQueue(Call call) {
        call.concurrentCalls = concurrentCalls(call.function);
        Copy copy = freeCopyOf(call.function);
        if (copy != null) {
            startRunning(call, copy);
            return;
        }
        boolean isNotLoaded = copiesOf(call.function).stream().allMatch(c -> c.stale);
        if (isNotLoaded && !spec.loadsOnCall()) {
            finish(call, AnswerCode.MISS, CopyNote.NONE);
        } else if (queue.size() >= spec.queue()) {
            finish(call, AnswerCode.FULL, CopyNote.NONE);
        } else {
            boolean loading = copiesOf(call.function).stream().anyMatch(c -> c.loading);
            call.note = isNotLoaded ? CopyNote.BEGAN : loading ? CopyNote.WAITED : CopyNote.FOUND;
            queue.add(call);
            if (spec.loadsOnCall() && (isNotLoaded || !loading) && load(call) == null && isNotLoaded) {
                queue.remove(call);
                finish(call, AnswerCode.FULL, CopyNote.NONE);
            }
        }
    }

    private void startRunning(Call call, Copy copy) {
        copy.running++;
        running++;
        trace.note("run", "worker", id, "call", call.id, "attempt", call.attempt);
        double age = Math.min(1, (System.nanoTime() - startedAt) / 1e6 / spec.slowStartMillis());
        double warmth = spec.slowStartInitialShare() + (1 - spec.slowStartInitialShare()) * age;
        double ms =
                call.workUs / 1000.0 / spec.speed() / warmth * slowdown * Math.max(1, running / (double) spec.cores());
        after(ms, () -> {
            copy.running--;
            running--;
            copy.idleSince = System.nanoTime();
            if (copy.stale && copy.running == 0) {
                copiesOf(copy.function).remove(copy);
            }
            boolean lost = hanging || random.nextDouble() < lostShare;
            if (lost && resetsLostAnswers && !call.finished) {
                call.finished = true;
                trace.note("reply", "worker", id, "call", call.id, "attempt", call.attempt, "code", "reset");
                call.reply.reset();
            } else if (!lost) {
                finish(call, AnswerCode.SERVED, call.note);
            }
            serveQueue();
        });
    }

    private void serveQueue() {
        for (Call call : List.copyOf(queue)) {
            Copy copy = freeCopyOf(call.function);
            if (copy != null) {
                queue.remove(call);
                startRunning(call, copy);
            }
        }
    }

    private void finish(Call call, AnswerCode code, CopyNote note) {
        if (!call.finished) {
            call.finished = true;
            trace.note("reply", "worker", id, "call", call.id, "attempt", call.attempt, "code", code.word());
            call.reply.answer(
                    code, note, call.concurrentCalls, code == AnswerCode.SERVED ? call.id.getBytes() : new byte[0]);
        }
    }

    /** The gateway cancelled the call: removes it from the queue; a running call continues but sends no response. */
    void cancel(Call call) {
        if (alive && !call.finished) {
            trace.note("cancelled", "worker", id, "call", call.id, "attempt", call.attempt);
            call.finished = true;
            queue.remove(call);
        }
    }

    // ---- Loads ------------------------------------------------------------------------------

    void orderLoad(Call functionSpec, int count, BiConsumer<AnswerCode, Integer> onEnded) {
        runUnlessPaused(() -> {
            if (hanging) {
                return;
            }
            long now = System.nanoTime();
            copiesOf(functionSpec.function).stream().filter(c -> c.running == 0).forEach(c -> c.idleSince = now);
            if (draining && count > 0) {
                onEnded.accept(AnswerCode.FULL, loadedCopiesOf(functionSpec.function));
                return;
            }
            int missing = count
                    - (int) copiesOf(functionSpec.function).stream()
                            .filter(c -> !c.stale)
                            .count();
            boolean hasRoom = true;
            for (int i = 0; i < missing && hasRoom; i++) {
                hasRoom = load(functionSpec) != null;
            }
            if (loadedCopiesOf(functionSpec.function) >= count) {
                onEnded.accept(AnswerCode.SERVED, loadedCopiesOf(functionSpec.function));
            } else if (!hasRoom) {
                onEnded.accept(AnswerCode.FULL, loadedCopiesOf(functionSpec.function));
            } else {
                orders.add(new Order(functionSpec, count, onEnded));
            }
        });
    }

    void unload(String function) {
        copiesOf(function).removeIf(c -> !c.loading && c.running == 0);
    }

    private int loadedCopiesOf(String function) {
        return (int)
                copiesOf(function).stream().filter(c -> !c.loading && !c.stale).count();
    }

    private Copy load(Call functionSpec) {
        if (!makeRoom(functionSpec.memoryMb) || loadQueue.size() >= 2 * spec.loadsAtOnce()) {
            return null;
        }
        Copy copy = new Copy(functionSpec);
        copiesOf(functionSpec.function).add(copy);
        loadMillis.put(copy, functionSpec.loadMillis);
        loadQueue.add(copy);
        startQueuedLoads();
        return copy;
    }

    private boolean makeRoom(double neededMb) {
        double usedMb = copies.values().stream()
                .flatMap(List::stream)
                .mapToDouble(c -> c.memoryMb)
                .sum();
        while (usedMb + neededMb > spec.memoryMb()) {
            Copy longestIdle = copies.values().stream()
                    .flatMap(List::stream)
                    .filter(c -> !c.loading && c.running == 0)
                    .min((a, b) -> Long.compare(a.idleSince, b.idleSince))
                    .orElse(null);
            if (longestIdle == null) {
                return false;
            }
            copiesOf(longestIdle.function).remove(longestIdle);
            usedMb -= longestIdle.memoryMb;
        }
        return true;
    }

    private void startQueuedLoads() {
        while (loadsInProgress < spec.loadsAtOnce() && !loadQueue.isEmpty()) {
            Copy copy = loadQueue.poll();
            double ms = loadMillis.remove(copy);
            int startedBy = incarnation;
            loadsInProgress++;
            loadsBegun++;
            trace.note("load", "worker", id, "fn", copy.function);
            store.call(
                    HttpMethod.GET,
                    "/image/" + copy.function + "?ms=" + ms * FETCH_SHARE,
                    Map.of(),
                    new byte[0],
                    new HttpCaller.ResponseHandler() {
                        @Override
                        public void answered(int status, HttpHeaders headers, byte[] body) {
                            onFetched(status == 200);
                        }

                        @Override
                        public void broken(boolean wasSent) {
                            onFetched(false);
                        }

                        private void onFetched(boolean succeeded) {
                            loop.execute(() -> {
                                if (startedBy == incarnation) {
                                    after(succeeded ? ms * (1 - FETCH_SHARE) : 1, () -> onLoaded(copy, succeeded));
                                }
                            });
                        }
                    });
        }
    }

    private void onLoaded(Copy copy, boolean succeeded) {
        loadsInProgress--;
        copy.loading = false;
        copy.idleSince = System.nanoTime();
        if (!succeeded || copy.stale) {
            copiesOf(copy.function).remove(copy);
        }
        trace.note("loaded", "worker", id, "fn", copy.function, "well", succeeded);
        if (!succeeded && loadedCopiesOf(copy.function) == 0) {
            for (Call call : List.copyOf(queue)) {
                if (call.function.equals(copy.function)) {
                    queue.remove(call);
                    finish(call, AnswerCode.MISS, CopyNote.LOAD_FAILED);
                }
            }
        }
        serveQueue();
        for (Order order : List.copyOf(orders)) {
            int loadedCopies = loadedCopiesOf(order.functionSpec.function);
            if (order.functionSpec.function.equals(copy.function) && (!succeeded || loadedCopies >= order.count)) {
                orders.remove(order);
                order.onEnded.accept(succeeded ? AnswerCode.SERVED : AnswerCode.ERROR, loadedCopies);
            }
        }
        startQueuedLoads();
    }
}

package wharfhinge.gateway.loop;

import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import wharfhinge.Dispatcher;
import wharfhinge.Dispatcher.Completion;
import wharfhinge.Dispatcher.ListMode;
import wharfhinge.Dispatcher.Note;
import wharfhinge.Dispatcher.Outcome;
import wharfhinge.Dispatcher.Request;
import wharfhinge.config.GatewayConfig;
import wharfhinge.decisions.door.DoorDecisions;
import wharfhinge.gateway.loop.LoopStats.Count;
import wharfhinge.gateway.loop.OpenCall.LiveAttempt;
import wharfhinge.gateway.loop.WorkerSide.Result;
import wharfhinge.gateway.roster.FleetSource;
import wharfhinge.gateway.roster.FleetUpdate;
import wharfhinge.protocol.FinalAnswer;

/**
 * One thread owns one dispatcher: events in, actions out. An action never re-enters the dispatcher; what it causes at
 * once is told as an event of its own. The time told never runs backwards.
 *
 * <p>Bounds: calls wait for the loop in a hand-over of fixed length, and only so many may be open; a call beyond either
 * is turned away before it counts as taken. Every other event is one end of something that an open call, a probe or an
 * order began, so these are bounded by what is open and are never turned away: losing one would lose a call.
 *
 * <p>If the dispatcher throws, each open call gets its final answer (refused where nothing was sent, else failed), what
 * is out is reset, and a new dispatcher begins with the list that the loop held. Results of the former life are dropped.
 */
public final class DecisionLoop implements Runnable {
    /** What became of a call that was handed over. */
    public enum Taken {
        TAKEN,
        HAND_OVER_FULL,
        TOO_MANY_OPEN,
        CLOSING,
        TENANT_RATE,
        TENANT_OPEN,
        TENANT_SHARE;

        private static Taken of(DoorDecisions.Answer answer) {
            return switch (answer) {
                case ADMITTED -> TAKEN;
                case RATE -> TENANT_RATE;
                case OPEN -> TENANT_OPEN;
                case SHARE -> TENANT_SHARE;
            };
        }
    }

    /**
     * What was said to a call.
     *
     * @param comeBackNs where it was not taken and somebody can say when to come back
     */
    public record Offered(Taken taken, long comeBackNs) {}

    private static final long REST_NS = TimeUnit.SECONDS.toNanos(1);
    private static final int FUNCTIONS_KNOWN = 16_384;

    private record Event(String name, long stamp, Runnable what) {}

    private record Timer(long at, long number, String name, Runnable what) {}

    private final GatewayConfig config;
    private final DispatcherFactory factory;
    private final WorkerSide workers;
    private final FleetSource source;
    private final PeerLink peers;
    private final AnswerLog log;
    private final LongSupplier nanoTime;
    private final LoopClock clock;
    private final LoopStats stats = new LoopStats();
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final AtomicInteger waitingCalls = new AtomicInteger();
    private final AtomicInteger openCalls = new AtomicInteger();
    private final CompletableFuture<Integer> closed = new CompletableFuture<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private final Map<String, OpenCall> calls = new HashMap<>();
    private final Map<ClientCall, OpenCall> byClient = new java.util.IdentityHashMap<>();
    private final Map<String, WorkerSide.Function> functions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WorkerSide.Function> eldest) {
            return size() > FUNCTIONS_KNOWN;
        }
    };
    private final Fleet fleet = new Fleet();
    private final Set<String> streamed; // names of classes
    private final ChainRunner chains;
    private final Door door;
    private final Map<String, Long> aims = new HashMap<>(); // by class, nanoseconds
    private Dispatcher dispatcher;
    private long now;
    private long timerNumber;
    private long callNumber;
    private int life;
    private boolean stopped;
    private boolean ending;
    private volatile boolean closing;

    /** A loop that begins once a thread runs it. */
    public DecisionLoop(
            GatewayConfig config,
            DispatcherFactory factory,
            WorkerSide workers,
            FleetSource source,
            PeerLink peers,
            StepJournal journal,
            AnswerLog log,
            LongSupplier nanoTime) {
        this.config = config;
        this.factory = factory;
        this.workers = workers;
        this.source = source;
        this.peers = peers;
        this.log = log;
        this.nanoTime = nanoTime;
        this.clock = new LoopClock(nanoTime);
        this.streamed = config.settings().classes().stream()
                .filter(Dispatcher.RequestClass::stream)
                .map(Dispatcher.RequestClass::name)
                .collect(Collectors.toSet());
        this.door = new Door(config.door());
        config.settings().classes().forEach(c -> aims.put(c.name(), c.onTimeNs()));
        this.chains = new ChainRunner(
                new StepCalls(),
                config.chains(),
                config.settings().realms().stream().map(Dispatcher.Realm::name).collect(Collectors.toSet()),
                journal);
    }

    /** What the loop counts. */
    public LoopStats stats() {
        return stats;
    }

    /** Calls taken and not yet answered. */
    public int open() {
        return openCalls.get();
    }

    // ---- From other threads -----------------------------------------------------------------

    /** Hands a call over; unless it is taken, nothing is owed for it and its body stays the caller's. */
    public Offered offer(ClientCall call) {
        return offer("query", call.head().tenant(), () -> {
            waitingCalls.decrementAndGet();
            query(call, true);
        });
    }

    /** Hands a chain over; unless it is taken, nothing is owed for it. It counts as one open call beside its steps. */
    public Offered offer(ChainCall chain) {
        return offer("chain", chain.tenant(), () -> {
            waitingCalls.decrementAndGet();
            chains.begin(chain);
        });
    }

    /** The client of a chain that was taken went away. */
    public void clientLeft(ChainCall chain) {
        tell("chainLeft", () -> chains.clientLeft(chain));
    }

    /** What is counted of chains. */
    public Map<String, Long> chainFigures() {
        return chains.figures();
    }

    /** What the door counts; nothing where all are let in. */
    public Map<String, Long> doorFigures() {
        return door.figures();
    }

    private Offered offer(String name, String tenant, Runnable what) {
        if (closing) {
            stats.add(Count.TURNED_AWAY_CLOSING);
            return new Offered(Taken.CLOSING, 0);
        }
        DoorDecisions.Verdict verdict = door.arrives(nanoTime.getAsLong(), tenant);
        if (verdict.answer() != DoorDecisions.Answer.ADMITTED) {
            return new Offered(Taken.of(verdict.answer()), verdict.comeBackNs());
        }
        Taken taken = handOver(name, what);
        if (taken != Taken.TAKEN) {
            door.ended(nanoTime.getAsLong(), tenant, DoorDecisions.Ending.OTHERWISE, 0, 0);
        }
        return new Offered(taken, 0);
    }

    private Taken handOver(String name, Runnable what) {
        if (openCalls.incrementAndGet() > config.clients().maxOpen()) {
            openCalls.decrementAndGet();
            stats.add(Count.TURNED_AWAY_OPEN);
            return Taken.TOO_MANY_OPEN;
        }
        if (waitingCalls.incrementAndGet() > config.clients().handOver()) {
            waitingCalls.decrementAndGet();
            openCalls.decrementAndGet();
            stats.add(Count.TURNED_AWAY_HAND_OVER);
            return Taken.HAND_OVER_FULL;
        }
        tell(name, what);
        return Taken.TAKEN;
    }

    /** The client of a call that was taken went away; from here on no attempt of it is begun, however far the loop is behind. */
    public void clientLeft(ClientCall call) {
        call.clientGone().set(true);
        tell("clientLeft", () -> left(call, false));
    }

    private void left(ClientCall call, boolean cancelAll) {
        OpenCall c = byClient.get(call);
        if (c == null) {
            return;
        }
        if (c.answered) { // but its answer may still flow, which a worker would go on with for nobody
            c.attempts.stream().filter(a -> !a.ended && a.stream != null).forEach(a -> a.stream.cancel());
            return;
        }
        answered(c, Count.LEFT, "left", null);
        dispatcher.clientLeft(now, c.id);
        for (LiveAttempt a : List.copyOf(c.attempts)) {
            if (!a.ended && (cancelAll || a.stream != null)) {
                end(a, Outcome.CANCELLED);
            } else if (!a.ended) {
                a.sent.withdraw(); // what still waits for a connection is for nobody now
            }
        }
        forget(c);
    }

    /** News of the fleet. */
    public void fleet(FleetUpdate update) {
        tell("members", () -> members(update));
    }

    /** Another gateway sent bytes. */
    public void inbox(int peer, byte[] payload) {
        tell("inbox", () -> dispatcher.inbox(now, peer, payload));
    }

    /** Asks what is believed of all workers for a function; told on the loop's thread. */
    public void believed(String function, Consumer<List<Dispatcher.Belief>> to) {
        tell("believed", () -> to.accept(dispatcher.beliefs(now, function)));
    }

    /**
     * Takes no more calls; once all are answered, or the time is over and what is left has been ended, the loop stops.
     *
     * @return how many calls had to be ended
     */
    public CompletableFuture<Integer> close(long withinNs) {
        closing = true;
        tell("close", () -> {
            timer(withinNs, "close", () -> stop(endEverything("closing")));
            stopIfEmpty();
        });
        return closed;
    }

    private void tell(String name, Runnable what) {
        events.add(new Event(name, nanoTime.getAsLong(), what));
    }

    // ---- The thread -------------------------------------------------------------------------

    @Override
    public void run() {
        now = clock.now();
        chains.restore();
        guarded("begin", this::begin);
        try {
            while (!stopped) {
                long wait = timers.isEmpty()
                        ? REST_NS
                        : Math.min(REST_NS, timers.peek().at() - clock.now());
                Event event = wait <= 0 ? events.poll() : events.poll(wait, TimeUnit.NANOSECONDS);
                if (event != null) {
                    now = clock.now();
                    stats.age(now - clock.at(event.stamp()));
                    guarded(event.name(), event.what());
                }
                fireTimers();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closed.complete(endEverything("stopped"));
        }
    }

    private void fireTimers() {
        now = clock.now();
        for (Timer next = timers.peek(); next != null && next.at() <= now && !stopped; next = timers.peek()) {
            timers.poll();
            stats.age(now - next.at());
            guarded(next.name(), next.what());
            if (!events.isEmpty()) {
                return; // timers and events take turns, so that neither starves the other
            }
        }
    }

    private void guarded(String name, Runnable what) {
        long began = nanoTime.getAsLong();
        try {
            what.run();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            restart(name, e);
        }
        stats.decision(nanoTime.getAsLong() - began);
    }

    private void begin() {
        dispatcher = factory.create(now, config.seed() + life, config.settings(), new LoopActions(life));
        dispatcher.members(now, ListMode.REMEMBERED, fleet.revision(), fleet.workers());
    }

    private void restart(String name, Throwable cause) {
        life++;
        stats.add(Count.RESTARTS);
        timers.removeIf(timer -> !timer.name().equals("close") && !timer.name().equals("chain"));
        int ended = endAll("decisions-restarted", false);
        log.restarted(name, cause, ended);
        try {
            begin();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            log.restarted("begin", e, 0);
            dispatcher = new NoDecisions(new LoopActions(life));
            timer(REST_NS, "begin", this::begin);
        }
        stopIfEmpty();
    }

    /** Gives every open call its final answer and resets what is out; begun streams belong to their clients. */
    private int endAll(String why, boolean streamsToo) {
        List<OpenCall> all = new ArrayList<>(calls.values());
        int ended = 0;
        ending = true;
        for (OpenCall c : all) {
            for (LiveAttempt a : c.attempts) {
                if (!a.ended && (a.stream == null || streamsToo)) {
                    a.ended = true;
                    a.sent.cancel();
                }
            }
            if (!c.answered) {
                ended++;
                FinalAnswer answer = c.attempts.isEmpty() ? FinalAnswer.REFUSED : FinalAnswer.FAILED;
                c.call.responder().ended(answer, 0, c.facts(null, why, false));
                answered(c, answer == FinalAnswer.REFUSED ? Count.REFUSED : Count.FAILED, answer.word(), why);
            }
        }
        calls.clear();
        byClient.clear();
        ending = false;
        return ended;
    }

    /** Chains first: their steps' answers would come too late to be told. */
    private int endEverything(String why) {
        chains.endAll();
        return endAll(why, true);
    }

    private void stop(int ended) {
        stopped = true;
        closed.complete(ended);
    }

    private void stopIfEmpty() {
        if (closing
                && !ending
                && openCalls.get() == 0
                && calls.values().stream().noneMatch(OpenCall::streams)) {
            stop(0);
        }
    }

    private void timer(long delayNs, String name, Runnable what) {
        timers.add(new Timer(now + Math.max(0, delayNs), timerNumber++, name, what));
    }

    // ---- Events -----------------------------------------------------------------------------

    private void query(ClientCall call, boolean throughDoor) {
        stats.add(Count.TAKEN);
        long deadline = clock.at(call.receivedAt()) + call.deadlineNs();
        OpenCall c = new OpenCall(Long.toString(callNumber++, Character.MAX_RADIX), call, now, deadline);
        c.throughDoor = throughDoor;
        calls.put(c.id, c);
        byClient.put(call, c);
        var head = call.head();
        functions.put(
                head.function(),
                new WorkerSide.Function(head.function(), head.memoryMb(), head.lanes(), head.loadMs()));
        factory.named(now, c.id, c.outerId());
        dispatcher.query(
                now,
                new Request(
                        c.id,
                        head.tenant(),
                        deadline - now,
                        head.memoryMb(),
                        head.function(),
                        head.costUs() * 1000,
                        head.lanes(),
                        head.loadMs(),
                        call.requestClass(),
                        head.repeat(),
                        head.write()));
    }

    private void members(FleetUpdate update) {
        stats.add(Count.LISTS);
        if (update.mode() == ListMode.REFUSED) {
            dispatcher.members(now, ListMode.REFUSED, update.revision(), List.of());
            return;
        }
        Fleet.Change change = fleet.apply(update, now);
        change.leaving().forEach(workers::leaving); // before the decisions, so that nothing slips out between
        change.listed().forEach(workers::listed);
        dispatcher.members(now, update.mode(), update.revision(), change.told());
    }

    private void attemptEnded(LiveAttempt a, Result result) {
        if (a.ended) {
            stats.add(Count.LATE_ANSWERS);
            ReferenceCountUtil.release(result.body());
            return;
        }
        a.ended = true;
        a.how = result.how();
        a.tookNs = result.tookNs();
        OpenCall c = a.call;
        c.live--;
        if (a.stream != null) {
            ReferenceCountUtil.release(result.body());
            completed(a, result);
            return;
        }
        if (result.outcome() == Outcome.SERVED && !c.answered) {
            c.call.responder().served(result.body(), result.contentType(), c.facts(a.worker, "", loaded(result)));
            answered(c, Count.SERVED, "served", null);
        } else {
            if (c.answered && result.outcome() == Outcome.SERVED) {
                stats.add(Count.LATE_ANSWERS);
            }
            ReferenceCountUtil.release(result.body());
        }
        completed(a, result);
    }

    private static boolean loaded(Result result) {
        return result.note() == Note.BEGAN_LOAD || result.note() == Note.WAITED_FOR_LOAD;
    }

    private void completed(LiveAttempt a, Result result) {
        dispatcher.completed(
                now,
                new Completion(
                        a.call.id,
                        result.outcome(),
                        a.index,
                        result.tookNs(),
                        a.worker,
                        result.note(),
                        result.company(),
                        a.call.answered,
                        result.report()));
        forget(a.call);
    }

    /** Ends an attempt from this side: the wire is told to stop, the decisions how it ended. */
    private void end(LiveAttempt a, Outcome outcome) {
        if (!a.ended) {
            a.sent.cancel();
            a.ended = true;
            a.how = outcome.name().toLowerCase(java.util.Locale.ROOT);
            a.tookNs = now - a.sentAt;
            a.call.live--;
            completed(a, new Result(outcome, Note.NONE, 0, Map.of(), 0, a.tookNs, null, null, a.how));
        }
    }

    private void streamBegan(LiveAttempt a, WorkerSide.Stream stream) {
        OpenCall c = a.call;
        if (a.ended || c.answered) {
            stream.cancel();
            end(a, Outcome.CANCELLED);
            return;
        }
        a.stream = stream;
        a.how = "streams";
        stats.add(Count.STREAMS);
        c.call.responder().streams(stream, c.facts(a.worker, "", false));
        answered(c, Count.SERVED, "served", null);
        dispatcher.established(now, c.id, a.index, a.worker);
    }

    private void answered(OpenCall c, Count as, String answer, String why) {
        c.answered = true;
        stats.add(as);
        openCalls.decrementAndGet();
        if (c.throughDoor) {
            DoorDecisions.Ending how = as == Count.SERVED
                    ? DoorDecisions.Ending.ANSWERED
                    : as == Count.REFUSED ? DoorDecisions.Ending.REFUSED : DoorDecisions.Ending.OTHERWISE;
            door.ended(
                    nanoTime.getAsLong(),
                    c.call.head().tenant(),
                    how,
                    now - c.takenAt,
                    aims.get(c.call.requestClass()));
        }
        ReferenceCountUtil.release(c.call.body());
        if (log.wantsAnswers()) {
            List<String> trail = c.trail();
            log.answered(new AnswerLog.Line(
                    c.outerId(),
                    c.call.head().function(),
                    c.call.requestClass(),
                    c.call.head().tenant(),
                    answer,
                    now - clock.at(c.call.receivedAt()),
                    why == null || !trail.isEmpty() ? trail : List.of(why)));
        }
        stopIfEmpty();
    }

    private void forget(OpenCall c) {
        if (c.answered && c.live == 0) {
            calls.remove(c.id, c);
            byClient.remove(c.call, c);
            stopIfEmpty();
        }
    }

    // ---- Steps of chains --------------------------------------------------------------------

    /** What chains need of the loop; a step is a call like any other, and counts as open. */
    private final class StepCalls implements ChainRunner.Calls {
        @Override
        public long now() {
            return now;
        }

        @Override
        public long nanos(long at) {
            return clock.nanos(at);
        }

        @Override
        public void begin(ClientCall step) {
            openCalls.incrementAndGet();
            query(step, false);
        }

        @Override
        public void cancel(ClientCall step) {
            left(step, config.settings().limits().cancelling());
        }

        @Override
        public void expect(Request request) {
            functions.put(
                    request.function(),
                    new WorkerSide.Function(request.function(), request.memoryMb(), request.lanes(), request.loadMs()));
            dispatcher.expected(now, request);
        }

        @Override
        public boolean believedWarm(String function) {
            return dispatcher.believedWarm(now, function);
        }

        @Override
        public void later(long delayNs, Runnable what) {
            timer(delayNs, "chain", what);
        }

        @Override
        public void tell(String name, Runnable what) {
            DecisionLoop.this.tell(name, what);
        }

        @Override
        public void chainOver(ChainCall chain) {
            openCalls.decrementAndGet();
            door.ended(nanoTime.getAsLong(), chain.tenant(), DoorDecisions.Ending.OTHERWISE, 0, 0);
            stopIfEmpty();
        }
    }

    // ---- Actions ----------------------------------------------------------------------------

    /** What one life's dispatcher asks for; asked by a former life, nothing happens. */
    private final class LoopActions implements Dispatcher.Actions {
        private final int of;

        LoopActions(int of) {
            this.of = of;
        }

        private void tellThisLife(String name, Runnable what) {
            tell(name, () -> {
                if (life == of) {
                    what.run();
                }
            });
        }

        @Override
        public void attempt(String request, String worker, long timeoutNs) {
            OpenCall c = calls.get(request);
            if (c == null) {
                return;
            }
            LiveAttempt a = new LiveAttempt(c, c.attempts.size(), worker, now);
            c.attempts.add(a);
            c.live++;
            long left = c.deadline - now;
            if (c.answered
                    || left <= 0
                    || timeoutNs < 0
                    || a.index >= config.settings().limits().maxAttempts()) {
                stats.add(Count.MOOT);
                a.sent = WorkerSide.Sent.NONE;
                tellThisLife("moot", () -> end(a, Outcome.MOOT));
                return;
            }
            stats.add(Count.ATTEMPTS);
            long wait = timeoutNs == 0 ? left : Math.min(timeoutNs, left);
            var head = c.call.head();
            boolean streams = streamed.contains(c.call.requestClass());
            a.sent = workers.attempt(
                    new WorkerSide.Order(
                            worker,
                            c.outerId(),
                            a.index,
                            functions.get(head.function()),
                            c.call.requestClass(),
                            head.tenant(),
                            clock.nanos(now + wait),
                            head.costUs(),
                            c.call.body(),
                            c.call.contentType(),
                            streams,
                            head.idempotencyKey(),
                            c.call.clientGone()::get),
                    new WorkerSide.AttemptListener() {
                        @Override
                        public void ended(Result result) {
                            tellThisLife("completed", () -> attemptEnded(a, result));
                        }

                        @Override
                        public void began(WorkerSide.Stream stream) {
                            tellThisLife("established", () -> streamBegan(a, stream));
                        }
                    });
            DecisionLoop.this.timer(wait, "timeout", () -> {
                if (a.stream == null) {
                    end(a, Outcome.TIMEOUT);
                }
            });
        }

        @Override
        public void cancel(String request, int attempt) {
            OpenCall c = calls.get(request);
            if (c != null && attempt < c.attempts.size() && c.attempts.get(attempt).stream == null) {
                LiveAttempt a = c.attempts.get(attempt);
                tellThisLife("cancelled", () -> end(a, Outcome.CANCELLED));
            }
        }

        @Override
        public void refuse(String request, long coolDownNs) {
            finalAnswer(request, FinalAnswer.REFUSED, coolDownNs, Count.REFUSED);
        }

        @Override
        public void fail(String request) {
            finalAnswer(request, FinalAnswer.FAILED, 0, Count.FAILED);
        }

        private void finalAnswer(String request, FinalAnswer answer, long coolDownNs, Count as) {
            OpenCall c = calls.get(request);
            if (c != null && !c.answered) {
                c.call.responder().ended(answer, coolDownNs, c.facts(null, "not-sent", false));
                answered(c, as, answer.word(), "not-sent");
                forget(c);
            }
        }

        @Override
        public void hold(String worker, String function, int count) {
            stats.add(Count.HOLDS);
            WorkerSide.Function known = functions.getOrDefault(function, new WorkerSide.Function(function, 0, 0, 0));
            workers.hold(worker, known, count, config.settings().familyInfo().loadWaitNs(), result -> {
                ReferenceCountUtil.release(result.body());
                tellThisLife(
                        "resident",
                        () -> dispatcher.resident(
                                now, worker, function, result.count(), result.outcome(), result.tookNs()));
            });
        }

        @Override
        public void unload(String worker, String function) {
            stats.add(Count.UNLOADS);
            workers.unload(worker, function);
        }

        @Override
        public void probe(String worker) {
            stats.add(Count.PROBES);
            workers.probe(worker, result -> {
                ReferenceCountUtil.release(result.body());
                tellThisLife(
                        "probed",
                        () -> dispatcher.probed(now, worker, result.outcome(), result.tookNs(), result.report()));
            });
        }

        @Override
        public void timer(String token, long delayNs) {
            DecisionLoop.this.timer(delayNs, "due", () -> dispatcher.due(now, token));
        }

        @Override
        public void publish(int peer, byte[] payload) {
            peers.publish(peer, payload);
        }

        @Override
        public void listen(boolean on) {
            source.listen(on);
        }

        @Override
        public void reload() {
            source.reload();
        }

        @Override
        public void hangUp(String worker) {
            workers.hangUp(worker);
        }

        @Override
        public void remark(String text) {
            log.remark(text);
        }
    }
}

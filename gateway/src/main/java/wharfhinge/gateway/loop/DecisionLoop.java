package wharfhinge.gateway.loop;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import wharfhinge.config.GatewayConfig;
import wharfhinge.decisions.door.DoorDecisions;
import wharfhinge.gateway.loop.LoopStats.Count;
import wharfhinge.gateway.roster.FleetSource;
import wharfhinge.gateway.roster.FleetUpdate;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Request;
import wharfhinge.policy.Tenant;
import wharfhinge.policy.WorkerSnapshot;
import wharfhinge.protocol.CallHead;

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

        static Taken of(DoorDecisions.Answer answer) {
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
     * @param comeBackNanos where it was not taken and somebody can say when to come back
     */
    public record Offered(Taken taken, long comeBackNanos) {}

    private static final int FUNCTIONS_KNOWN = 16_384;
    private static final long NEXT_LIFE_NS = TimeUnit.SECONDS.toNanos(1); // after decisions that threw as they began
    private static final String CLOSE_TIMER = "close"; // these two outlive a life of the dispatcher
    private static final String CHAIN_TIMER = "chain";

    private final GatewayConfig config;
    private final DispatcherFactory factory;
    private final WorkerSide workers;
    private final FleetSource source;
    private final PeerLink peers;
    private final AnswerLog log;
    private final LoopStats stats = new LoopStats();
    private final LoopThread thread;
    private final HandOver handOver;
    private final OpenCalls calls;
    private final CompletableFuture<Integer> closed = new CompletableFuture<>();
    private final Map<String, WorkerSide.Function> functions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WorkerSide.Function> eldest) {
            return size() > FUNCTIONS_KNOWN;
        }
    };
    private final Fleet fleet = new Fleet();
    private final ChainRunner chains;
    private Dispatcher dispatcher;
    private int life;

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
        this.thread = new LoopThread(nanoTime, stats, this::restart);
        this.handOver = new HandOver(config, stats, nanoTime, thread);
        this.calls = new OpenCalls(config, thread, handOver, stats, log, () -> dispatcher, this::stopIfEmpty);
        this.chains = new ChainRunner(
                new StepCalls(),
                config.chains(),
                config.settings().tenants().stream().map(Tenant::name).collect(Collectors.toSet()),
                journal);
    }

    /** What the loop counts. */
    public LoopStats stats() {
        return stats;
    }

    /** Calls taken and not yet answered. */
    public int open() {
        return handOver.open();
    }

    // ---- From other threads -----------------------------------------------------------------

    /** Hands a call over; unless it is taken, nothing is owed for it and its body stays the caller's. */
    public Offered offer(ClientCall call) {
        return handOver.offer("query", call.head().tenant(), () -> query(call, true));
    }

    /** Hands a chain over; unless it is taken, nothing is owed for it. It counts as one open call beside its steps. */
    public Offered offer(ChainCall chain) {
        return handOver.offer("chain", chain.tenant(), () -> chains.begin(chain));
    }

    /** The client of a chain that was taken went away. */
    public void clientLeft(ChainCall chain) {
        thread.tell("chainLeft", () -> chains.clientLeft(chain));
    }

    /** What is counted of chains. */
    public Map<String, Long> chainFigures() {
        return chains.figures();
    }

    /** What the door counts; nothing where all are let in. */
    public Map<String, Long> doorFigures() {
        return handOver.doorFigures();
    }

    /** The client of a call that was taken went away; from here on no attempt of it is begun, however far the loop is behind. */
    public void clientLeft(ClientCall call) {
        call.clientGone().set(true);
        thread.tell("clientLeft", () -> calls.left(call, false));
    }

    /** News of the fleet. */
    public void fleet(FleetUpdate update) {
        thread.tell("members", () -> members(update));
    }

    /** Another gateway sent bytes. */
    public void inbox(int peer, byte[] payload) {
        thread.tell("inbox", () -> dispatcher.onPeerMessage(thread.now(), peer, payload));
    }

    /** Asks what is believed of all workers for a function; told on the loop's thread. */
    public void believed(String function, Consumer<List<WorkerSnapshot>> to) {
        thread.tell("believed", () -> to.accept(dispatcher.workerStates(thread.now(), function)));
    }

    /**
     * Takes no more calls; once all are answered, or the time is over and what is left has been ended, the loop stops.
     *
     * @return how many calls had to be ended
     */
    public CompletableFuture<Integer> close(long withinNanos) {
        handOver.close();
        thread.tell("close", () -> {
            thread.timer(withinNanos, CLOSE_TIMER, () -> stop(endEverything("closing")));
            stopIfEmpty();
        });
        return closed;
    }

    // ---- A life of the dispatcher -----------------------------------------------------------

    @Override
    public void run() {
        thread.takeTime();
        chains.restore();
        thread.guarded("begin", this::begin);
        try {
            thread.run();
        } finally {
            closed.complete(endEverything("stopped"));
        }
    }

    private void begin() {
        dispatcher = factory.create(thread.now(), config.seed() + life, config.settings(), actions());
        dispatcher.onEndpointUpdate(thread.now(), EndpointUpdateMode.SNAPSHOT, fleet.revision(), fleet.workers());
    }

    private DispatcherActions actions() {
        int itsLife = life;
        return new LoopActions(
                config,
                thread,
                calls,
                stats,
                functions,
                workers,
                source,
                peers,
                log,
                () -> dispatcher,
                () -> life == itsLife);
    }

    private void restart(String name, Throwable cause) {
        life++;
        stats.add(Count.RESTARTS);
        thread.dropTimers(timer -> !timer.equals(CLOSE_TIMER) && !timer.equals(CHAIN_TIMER));
        int ended = calls.endAll("decisions-restarted", false);
        log.restarted(name, cause, ended);
        try {
            begin();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            log.restarted("begin", e, 0);
            dispatcher = new NoDecisions(actions());
            thread.timer(NEXT_LIFE_NS, "begin", this::begin);
        }
        stopIfEmpty();
    }

    /** Chains first: their steps' answers would come too late to be told. */
    private int endEverything(String why) {
        chains.endAll();
        return calls.endAll(why, true);
    }

    private void stop(int ended) {
        thread.stop();
        closed.complete(ended);
    }

    private void stopIfEmpty() {
        if (handOver.closing() && calls.idle()) {
            stop(0);
        }
    }

    // ---- Events -----------------------------------------------------------------------------

    private void query(ClientCall call, boolean throughDoor) {
        stats.add(Count.TAKEN);
        OpenCall c = calls.add(call, throughDoor);
        CallHead head = call.head();
        WorkerSide.Function function =
                new WorkerSide.Function(head.function(), head.memoryMb(), head.lanes(), head.loadMillis());
        functions.put(head.function(), function);
        factory.named(thread.now(), c.id, c.outerId());
        Request request = new Request(
                c.id,
                head.tenant(),
                c.deadline - thread.now(),
                head.memoryMb(),
                head.function(),
                head.costUs() * 1000,
                head.lanes(),
                head.loadMillis(),
                call.requestClass(),
                head.repeat(),
                head.write());
        dispatcher.onRequest(thread.now(), request);
    }

    private void members(FleetUpdate update) {
        stats.add(Count.LISTS);
        if (update.mode() == EndpointUpdateMode.REJECTED) {
            dispatcher.onEndpointUpdate(thread.now(), EndpointUpdateMode.REJECTED, update.revision(), List.of());
            return;
        }
        Fleet.Change change = fleet.apply(update, thread.now());
        change.leaving().forEach(workers::leaving); // before the decisions, so that nothing slips out between
        change.listed().forEach(workers::listed);
        dispatcher.onEndpointUpdate(thread.now(), update.mode(), update.revision(), change.told());
    }

    // ---- Steps of chains --------------------------------------------------------------------

    /** What chains need of the loop; a step is a call like any other, and counts as open. */
    private final class StepCalls implements ChainRunner.Calls {
        @Override
        public long now() {
            return thread.now();
        }

        @Override
        public long nanos(long at) {
            return thread.clock().nanos(at);
        }

        @Override
        public void begin(ClientCall step) {
            handOver.begun();
            query(step, false);
        }

        @Override
        public void cancel(ClientCall step) {
            calls.left(step, config.settings().limits().cancellation());
        }

        @Override
        public void expect(Request request) {
            functions.put(
                    request.function(),
                    new WorkerSide.Function(
                            request.function(),
                            request.memoryMb(),
                            request.concurrencyPerCopy(),
                            request.loadMillis()));
            dispatcher.onRequestExpected(thread.now(), request);
        }

        @Override
        public boolean believedWarm(String function) {
            return dispatcher.isCached(thread.now(), function);
        }

        @Override
        public void later(long delayNanos, Runnable what) {
            thread.timer(delayNanos, CHAIN_TIMER, what);
        }

        @Override
        public void tell(String name, Runnable what) {
            thread.tell(name, what);
        }

        @Override
        public void chainOver(ChainCall chain) {
            handOver.ended();
            handOver.leftDoor(chain.tenant(), DoorDecisions.Ending.OTHERWISE, 0, 0);
            stopIfEmpty();
        }
    }
}

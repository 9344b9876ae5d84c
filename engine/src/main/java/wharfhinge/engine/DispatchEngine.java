package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.engine.EngineMetrics.Counter;
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
public final class DispatchEngine implements Runnable {
    /** What became of a call that was handed over. */
    public enum SubmissionStatus {
        ACCEPTED("taken"),
        QUEUE_FULL("hand-over-full"),
        TOO_MANY_PENDING("too-many-open"),
        SHUTTING_DOWN("closing"),
        TENANT_RATE("tenant-rate"),
        TENANT_OPEN("tenant-open"),
        TENANT_SHARE("tenant-share");

        private final String word;

        SubmissionStatus(String word) {
            this.word = word;
        }

        /** As the clients' protocol names it. */
        public String word() {
            return word;
        }

        static SubmissionStatus of(AdmissionController.Decision answer) {
            return switch (answer) {
                case ADMITTED -> ACCEPTED;
                case OVER_RATE -> TENANT_RATE;
                case TOO_MANY_PENDING -> TENANT_OPEN;
                case OVER_SHARE -> TENANT_SHARE;
            };
        }
    }

    /**
     * What was said to a call.
     *
     * @param retryAfterNanos where it was not taken and somebody can say when to come back
     */
    public record SubmissionResult(SubmissionStatus status, long retryAfterNanos) {}

    private static final int FUNCTIONS_KNOWN = 16_384;
    private static final long NEXT_LIFE_NS = TimeUnit.SECONDS.toNanos(1); // after decisions that threw as they began
    private static final String CLOSE_TIMER = "close"; // these two outlive a life of the dispatcher
    private static final String CHAIN_TIMER = "chain";

    private final EngineSettings settings;
    private final DispatcherFactory factory;
    private final WorkerTransport workers;
    private final EndpointSource source;
    private final PeerTransport peers;
    private final AccessLog log;
    private final EngineMetrics metrics = new EngineMetrics();
    private final EventLoop thread;
    private final SubmissionQueue handOver;
    private final PendingCalls calls;
    private final CompletableFuture<Integer> closed = new CompletableFuture<>();
    private final Map<String, WorkerTransport.FunctionInfo> functions = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WorkerTransport.FunctionInfo> eldest) {
            return size() > FUNCTIONS_KNOWN;
        }
    };
    private final EndpointList onEndpointUpdate = new EndpointList();
    private final ChainExecutor chains;
    private Dispatcher dispatcher;
    private int life;

    /** A loop that begins once a thread runs it. */
    public DispatchEngine(
            EngineSettings settings,
            DispatcherFactory factory,
            WorkerTransport workers,
            EndpointSource source,
            PeerTransport peers,
            StepJournal journal,
            AccessLog log,
            LongSupplier nanoTime) {
        this.settings = settings;
        this.factory = factory;
        this.workers = workers;
        this.source = source;
        this.peers = peers;
        this.log = log;
        this.thread = new EventLoop(nanoTime, metrics, this::restart);
        this.handOver = new SubmissionQueue(settings, metrics, nanoTime, thread);
        this.calls = new PendingCalls(settings, thread, handOver, metrics, log, () -> dispatcher, this::stopIfEmpty);
        this.chains = new ChainExecutor(
                new StepCalls(),
                settings.chains(),
                settings.dispatcher().tenants().stream().map(Tenant::name).collect(Collectors.toSet()),
                journal);
    }

    /** What the loop counts. */
    public EngineMetrics metrics() {
        return metrics;
    }

    /** Calls taken and not yet answered. */
    public int pendingCalls() {
        return handOver.open();
    }

    // ---- From other threads -----------------------------------------------------------------

    /** Hands a call over; unless it is taken, nothing is owed for it and its body stays the caller's. */
    public SubmissionResult submit(ClientCall call) {
        return handOver.offer("query", call.head().tenant(), () -> query(call, true));
    }

    /** Hands a chain over; unless it is taken, nothing is owed for it. It counts as one open call beside its steps. */
    public SubmissionResult submit(ChainCall chain) {
        return handOver.offer("chain", chain.tenant(), () -> chains.begin(chain));
    }

    /** The client of a chain that was taken went away. */
    public void onClientCancelled(ChainCall chain) {
        thread.tell("chainLeft", () -> chains.clientLeft(chain));
    }

    /** What is counted of chains. */
    public Map<String, Long> chainMetrics() {
        return chains.figures();
    }

    /** What the door counts; nothing where all are let in. */
    public Map<String, Long> admissionMetrics() {
        return handOver.doorFigures();
    }

    /** The client of a call that was taken went away; from here on no attempt of it is begun, however far the loop is behind. */
    public void onClientCancelled(ClientCall call) {
        call.clientCancelled().set(true);
        thread.tell("clientLeft", () -> calls.left(call, false));
    }

    /** News of the fleet. */
    public void onEndpointUpdate(EndpointUpdate update) {
        thread.tell("members", () -> members(update));
    }

    /** Another gateway sent bytes. */
    public void onPeerMessage(int peer, byte[] payload) {
        thread.tell("inbox", () -> dispatcher.onPeerMessage(thread.now(), peer, payload));
    }

    /** Asks what is believed of all workers for a function; told on the loop's thread. */
    public void workerStates(String function, Consumer<List<WorkerSnapshot>> to) {
        thread.tell("believed", () -> to.accept(dispatcher.workerStates(thread.now(), function)));
    }

    /**
     * Takes no more calls; once all are answered, or the time is over and what is left has been ended, the loop stops.
     *
     * @return how many calls had to be ended
     */
    public CompletableFuture<Integer> shutdown(long withinNanos) {
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
        dispatcher = factory.create(thread.now(), settings.seed() + life, settings.dispatcher(), actions());
        dispatcher.onEndpointUpdate(
                thread.now(), EndpointUpdateMode.SNAPSHOT, onEndpointUpdate.revision(), onEndpointUpdate.workers());
    }

    private DispatcherActions actions() {
        int itsLife = life;
        return new EngineActions(
                settings,
                thread,
                calls,
                metrics,
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
        metrics.add(Counter.RESTARTS);
        thread.dropTimers(timer -> !timer.equals(CLOSE_TIMER) && !timer.equals(CHAIN_TIMER));
        int ended = calls.endAll("decisions-restarted", false);
        log.onDispatcherRestarted(name, cause, ended);
        try {
            begin();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            log.onDispatcherRestarted("begin", e, 0);
            dispatcher = new RejectingDispatcher(actions());
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
        metrics.add(Counter.ACCEPTED);
        PendingCall c = calls.add(call, throughDoor);
        CallHead head = call.head();
        WorkerTransport.FunctionInfo function =
                new WorkerTransport.FunctionInfo(head.function(), head.memoryMb(), head.lanes(), head.loadMillis());
        functions.put(head.function(), function);
        factory.onRequestNamed(thread.now(), c.id, c.outerId());
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

    private void members(EndpointUpdate update) {
        metrics.add(Counter.ENDPOINT_UPDATES);
        if (update.mode() == EndpointUpdateMode.REJECTED) {
            dispatcher.onEndpointUpdate(thread.now(), EndpointUpdateMode.REJECTED, update.revision(), List.of());
            return;
        }
        EndpointList.Change change = onEndpointUpdate.apply(update, thread.now());
        change.leaving().forEach(workers::stopSending); // before the decisions, so that nothing slips out between
        change.listed().forEach(workers::startSending);
        dispatcher.onEndpointUpdate(thread.now(), update.mode(), update.revision(), change.told());
    }

    // ---- Steps of chains --------------------------------------------------------------------

    /** What chains need of the loop; a step is a call like any other, and counts as open. */
    private final class StepCalls implements ChainExecutor.Calls {
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
            calls.left(step, settings.dispatcher().limits().cancellation());
        }

        @Override
        public void expect(Request request) {
            functions.put(
                    request.function(),
                    new WorkerTransport.FunctionInfo(
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
            handOver.leftDoor(chain.tenant(), AdmissionController.CallEnd.OTHERWISE, 0, 0);
            stopIfEmpty();
        }
    }
}

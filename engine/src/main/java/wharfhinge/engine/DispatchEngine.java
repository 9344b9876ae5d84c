package wharfhinge.engine;

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
 * Runs one {@link Dispatcher} on a single thread: delivers events to it and carries out the actions that it requests. An action
 * never re-enters the dispatcher; an event that an action causes immediately is queued. The time passed to the dispatcher never
 * runs backwards.
 *
 * <p>Memory is bounded: submitted calls wait in a queue of fixed capacity, and the number of pending calls is limited. A call
 * beyond either limit is rejected before it is accepted. Endpoint updates that wait are merged. Every other event completes work that a pending call, a
 * probe or a load order started. Such events are bounded by the work in progress and are never rejected, since losing one would lose a
 * call.
 *
 * <p>If the dispatcher throws, each pending call gets its final answer (rejected if no attempt was sent, otherwise failed), its
 * attempts are cancelled unless their answer is already being streamed, and a new incarnation of the dispatcher starts from the
 * endpoint list that the engine keeps. Results that belong to an earlier incarnation are dropped.
 */
public final class DispatchEngine implements Runnable {
    /** The status of a submission: accepted, or the reason for its rejection. */
    public enum SubmissionStatus {
        ACCEPTED("taken"),
        QUEUE_FULL("hand-over-full"),
        TOO_MANY_PENDING("too-many-open"),
        SHUTTING_DOWN("closing"),
        TENANT_RATE("tenant-rate"),
        TENANT_PENDING("tenant-open"),
        TENANT_SHARE("tenant-share");

        private final String word;

        SubmissionStatus(String word) {
            this.word = word;
        }

        /** The name of this status in the client protocol. */
        public String word() {
            return word;
        }

        static SubmissionStatus of(AdmissionController.Decision decision) {
            return switch (decision) {
                case ADMITTED -> ACCEPTED;
                case OVER_RATE -> TENANT_RATE;
                case TOO_MANY_PENDING -> TENANT_PENDING;
                case OVER_SHARE -> TENANT_SHARE;
            };
        }
    }

    /**
     * The result of a submission.
     *
     * @param retryAfterNanos delay after which a rejected client may retry; 0 if unknown
     */
    public record SubmissionResult(SubmissionStatus status, long retryAfterNanos) {}

    /** Delay before a dispatcher that could not be created is created again; calls are rejected until then. */
    private static final long RESTART_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String SHUTDOWN_TIMER = "close"; // survives a restart of the dispatcher, as does CHAIN_TIMER
    private static final String CHAIN_TIMER = "chain";
    private static final String START_INCARNATION = "start-incarnation";

    private final EngineSettings settings;
    private final DispatcherFactory factory;
    private final WorkerTransport workers;
    private final EndpointSource endpointSource;
    private final PeerTransport peers;
    private final AccessLog log;
    private final EngineMetrics metrics = new EngineMetrics();
    private final EventLoop eventLoop;
    private final SubmissionQueue submissionQueue;
    private final PendingCalls pending;
    private final CompletableFuture<Integer> terminated = new CompletableFuture<>();
    private final FunctionTable functions = new FunctionTable();
    private final EndpointList endpoints = new EndpointList();
    private final ChainExecutor chains;
    private final EndpointUpdateQueue endpointUpdates = new EndpointUpdateQueue();
    private final EndpointStatus endpointStatus = new EndpointStatus();
    private Dispatcher dispatcher;
    private int incarnation;

    /** Creates an engine. It starts when a thread executes {@link #run}. */
    public DispatchEngine(
            EngineSettings settings,
            DispatcherFactory factory,
            WorkerTransport workers,
            EndpointSource endpointSource,
            PeerTransport peers,
            StepJournal journal,
            AccessLog log,
            LongSupplier nanoTime) {
        this.settings = settings;
        this.factory = factory;
        this.workers = workers;
        this.endpointSource = endpointSource;
        this.peers = peers;
        this.log = log;
        this.eventLoop = new EventLoop(nanoTime, metrics, this::restartDispatcher);
        this.submissionQueue = new SubmissionQueue(settings, metrics, nanoTime, eventLoop);
        this.pending = new PendingCalls(
                settings, eventLoop, submissionQueue, metrics, log, () -> dispatcher, this::stopIfIdle);
        this.chains = new ChainExecutor(
                new EngineStepTransport(),
                settings.chains(),
                settings.dispatcher().tenants().stream().map(Tenant::name).collect(Collectors.toSet()),
                journal);
        workers.setDisconnectListener(this::onWorkerDisconnected);
    }

    /** Counters and latencies of this engine. Safe to call from any thread. */
    public EngineMetrics metrics() {
        return metrics;
    }

    /** The number of calls accepted and not yet answered. Safe to call from any thread. */
    public int pendingCalls() {
        return submissionQueue.pending();
    }

    // ---- Methods for any thread -------------------------------------------------------------

    /** Submits a call. If it is not accepted, no answer follows and the caller remains the owner of its body. */
    public SubmissionResult submit(ClientCall call) {
        return submissionQueue.submit("request", call.head().tenant(), () -> startCall(call, true));
    }

    /** Submits a chain, which counts as one pending call in addition to its steps. If it is not accepted, no answer follows. */
    public SubmissionResult submit(ChainCall chain) {
        return submissionQueue.submit("chain", chain.tenant(), () -> chains.start(chain));
    }

    /** Reports that the client of an accepted chain cancelled it or disconnected. */
    public void onClientCancelled(ChainCall chain) {
        eventLoop.execute("chain-cancelled", () -> chains.onClientCancelled(chain));
    }

    /** Chain counters by their keys on the status page. */
    public Map<String, Long> chainMetrics() {
        return chains.metrics();
    }

    /** Admission counters by their keys on the status page; empty if admission control is off. */
    public Map<String, Long> admissionMetrics() {
        return submissionQueue.admissionMetrics();
    }

    /** Reports that an accepted call's client cancelled or disconnected. Stops further attempts even before the event is handled. */
    public void onClientCancelled(ClientCall call) {
        call.clientCancelled().set(true);
        eventLoop.execute("client-cancelled", () -> pending.onClientCancelled(call, false));
    }

    /** Delivers an update of the endpoint list. */
    public void onEndpointUpdate(EndpointUpdate update) {
        metrics.increment(Counter.ENDPOINT_UPDATES);
        if (endpointUpdates.add(update)) {
            eventLoop.execute("endpoint-update", () -> applyEndpointUpdate(endpointUpdates.take()));
        }
    }

    /** The listener to which the endpoint source reports whether the endpoint list is confirmed. */
    public EndpointStatusListener endpointStatusListener() {
        return new EndpointStatusListener() {
            @Override
            public void onConfirmed(long atNanos) {
                eventLoop.execute("endpoints-confirmed", () -> {
                    endpointStatus.confirm(eventLoop.clock().fromNanoTime(atNanos));
                    endpointStatus.reportTo(dispatcher, eventLoop.now());
                });
            }

            @Override
            public void onUnconfirmed() {
                eventLoop.execute("endpoints-unconfirmed", () -> {
                    endpointStatus.unconfirm();
                    endpointStatus.reportTo(dispatcher, eventLoop.now());
                });
            }
        };
    }

    private void onWorkerDisconnected(String worker) {
        eventLoop.execute("worker-disconnected", () -> dispatcher.onWorkerDisconnected(eventLoop.now(), worker));
    }

    /** Delivers a datagram from another dispatcher. */
    public void onPeerMessage(int peer, byte[] payload) {
        eventLoop.execute("peer-message", () -> dispatcher.onPeerMessage(eventLoop.now(), peer, payload));
    }

    /** Passes the dispatcher's view of all workers for a function to {@code consumer}, on the engine's thread. */
    public void workerStates(String function, Consumer<List<WorkerSnapshot>> consumer) {
        eventLoop.execute("worker-states", () -> consumer.accept(dispatcher.workerStates(eventLoop.now(), function)));
    }

    /** Passes the sizes of the engine's and the dispatcher's state to {@code consumer}, on the engine's thread. */
    public void stateSizes(Consumer<EngineStateSizes> consumer) {
        eventLoop.execute(
                "state-sizes",
                () -> consumer.accept(new EngineStateSizes(
                        eventLoop.timerCount(), pending.size(), functions.size(), dispatcher.stateSizes())));
    }

    /**
     * Starts a graceful shutdown: submissions are rejected from now on, and the engine stops once no call is pending. After
     * {@code timeoutNanos} it ends the remaining calls and stops.
     *
     * @return completes once the engine has stopped, with the number of calls that it ended
     */
    public CompletableFuture<Integer> shutdown(long timeoutNanos) {
        submissionQueue.close();
        eventLoop.execute("shutdown", () -> {
            eventLoop.schedule(timeoutNanos, SHUTDOWN_TIMER, () -> stop(endAllCalls("closing")));
            stopIfIdle();
        });
        return terminated;
    }

    // ---- Incarnations of the dispatcher -----------------------------------------------------

    @Override
    public void run() {
        eventLoop.advanceClock();
        chains.restore();
        eventLoop.runGuarded(START_INCARNATION, this::startIncarnation);
        try {
            eventLoop.run();
        } finally {
            terminated.complete(endAllCalls("stopped"));
        }
    }

    private void startIncarnation() {
        dispatcher =
                factory.create(eventLoop.now(), settings.seed() + incarnation, settings.dispatcher(), newActions());
        dispatcher.onEndpointUpdate(
                eventLoop.now(), EndpointUpdateMode.SNAPSHOT, endpoints.revision(), endpoints.endpoints());
        endpointStatus.reportTo(dispatcher, eventLoop.now());
    }

    private DispatcherActions newActions() {
        int incarnationOfActions = incarnation;
        return new EngineActions(
                settings,
                eventLoop,
                pending,
                metrics,
                functions,
                workers,
                endpointSource,
                peers,
                log,
                () -> dispatcher,
                () -> incarnation == incarnationOfActions);
    }

    private void restartDispatcher(String name, Throwable cause) {
        incarnation++;
        metrics.increment(Counter.RESTARTS);
        eventLoop.cancelTimers(timer -> !timer.equals(SHUTDOWN_TIMER) && !timer.equals(CHAIN_TIMER));
        int endedCalls = pending.endAll("decisions-restarted", false);
        log.onDispatcherRestarted(name, cause, endedCalls);
        try {
            startIncarnation();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            log.onDispatcherRestarted(START_INCARNATION, e, 0);
            dispatcher = new RejectingDispatcher(newActions());
            eventLoop.schedule(RESTART_DELAY_NANOS, START_INCARNATION, this::startIncarnation);
        }
        stopIfIdle();
    }

    /** Ends the chains first, which cancels their steps: the result of a step is queued and would come after its chain's answer. */
    private int endAllCalls(String reason) {
        chains.endAll();
        return pending.endAll(reason, true);
    }

    private void stop(int endedCalls) {
        eventLoop.stop();
        terminated.complete(endedCalls);
    }

    private void stopIfIdle() {
        if (submissionQueue.closed() && pending.isIdle()) {
            stop(0);
        }
    }

    // ---- Events -----------------------------------------------------------------------------

    private void startCall(ClientCall call, boolean admitted) {
        metrics.increment(Counter.ACCEPTED);
        PendingCall pendingCall = pending.add(call, admitted);
        CallHead head = call.head();
        functions.record(head);
        factory.onRequestNamed(eventLoop.now(), pendingCall.id, pendingCall.externalId());
        Request request = new Request(
                pendingCall.id,
                head.tenant(),
                pendingCall.deadline - eventLoop.now(),
                head.memoryMb(),
                head.function(),
                head.costUs() * 1000,
                head.lanes(),
                head.loadMillis(),
                call.requestClass(),
                head.repeat(),
                head.write());
        dispatcher.onRequest(eventLoop.now(), request);
    }

    private void applyEndpointUpdate(EndpointUpdate update) {
        if (update.mode() == EndpointUpdateMode.REJECTED) {
            dispatcher.onEndpointUpdate(eventLoop.now(), EndpointUpdateMode.REJECTED, update.revision(), List.of());
            return;
        }
        EndpointList.Change change = endpoints.apply(update, eventLoop.now());
        // The transport is updated first: once notified, the dispatcher may send attempts, none to a stopped worker.
        change.workersToStop().forEach(workers::stopSending);
        change.incarnationsToStart().forEach(workers::startSending);
        dispatcher.onEndpointUpdate(eventLoop.now(), update.mode(), update.revision(), change.endpoints());
    }

    // ---- Steps of chains --------------------------------------------------------------------

    /** Runs the steps of chains. A step is an ordinary call and counts as pending. */
    private final class EngineStepTransport implements StepTransport {
        @Override
        public long now() {
            return eventLoop.now();
        }

        @Override
        public long toNanoTime(long at) {
            return eventLoop.clock().toNanoTime(at);
        }

        @Override
        public void startStep(ClientCall step) {
            submissionQueue.onStarted();
            startCall(step, false);
        }

        @Override
        public void cancel(ClientCall step) {
            pending.onClientCancelled(step, settings.dispatcher().limits().cancellation());
        }

        @Override
        public void expectRequest(Request request) {
            functions.record(request);
            dispatcher.onRequestExpected(eventLoop.now(), request);
        }

        @Override
        public boolean isCached(String function) {
            return dispatcher.isCached(eventLoop.now(), function);
        }

        @Override
        public TimerQueue.Timer schedule(long delayNanos, Runnable task) {
            return eventLoop.schedule(delayNanos, CHAIN_TIMER, task);
        }

        @Override
        public void execute(String name, Runnable task) {
            eventLoop.execute(name, task);
        }

        @Override
        public void onChainCompleted(ChainCall chain) {
            submissionQueue.onCompleted();
            submissionQueue.release(chain.tenant(), AdmissionController.CallEnd.OTHER, 0, 0);
            stopIfIdle();
        }
    }
}

package wharfhinge.engine;

import io.netty.util.ReferenceCountUtil;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import wharfhinge.engine.EngineMetrics.Counter;
import wharfhinge.engine.PendingCall.PendingAttempt;
import wharfhinge.engine.WorkerTransport.ExchangeResult;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.RequestClass;
import wharfhinge.policy.SendCondition;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.FinalAnswer;

/**
 * Carries out the actions of one incarnation of the dispatcher, on the engine's thread. An event that an action causes immediately
 * is queued, never delivered within the action. Results that arrive after that incarnation has ended are dropped.
 */
final class EngineActions implements DispatcherActions {
    private final EngineSettings settings;
    private final EventLoop eventLoop;
    private final PendingCalls pendingCalls;
    private final EngineMetrics metrics;
    private final FunctionTable functions;
    private final WorkerTransport workers;
    private final EndpointSource endpointSource;
    private final PeerTransport peers;
    private final AccessLog log;
    private final Supplier<Dispatcher> dispatcher;
    private final BooleanSupplier isCurrentIncarnation;
    private final Set<String> streamingClasses; // names of request classes

    /**
     * Creates the actions of a new incarnation.
     *
     * @param functions            properties of recently called functions and of those that chains announced
     * @param dispatcher           supplies the current incarnation of the dispatcher
     * @param isCurrentIncarnation whether these actions belong to the current incarnation
     */
    EngineActions(
            EngineSettings settings,
            EventLoop eventLoop,
            PendingCalls pendingCalls,
            EngineMetrics metrics,
            FunctionTable functions,
            WorkerTransport workers,
            EndpointSource endpointSource,
            PeerTransport peers,
            AccessLog log,
            Supplier<Dispatcher> dispatcher,
            BooleanSupplier isCurrentIncarnation) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.pendingCalls = pendingCalls;
        this.metrics = metrics;
        this.functions = functions;
        this.workers = workers;
        this.endpointSource = endpointSource;
        this.peers = peers;
        this.log = log;
        this.dispatcher = dispatcher;
        this.isCurrentIncarnation = isCurrentIncarnation;
        this.streamingClasses = settings.dispatcher().classes().stream()
                .filter(RequestClass::streaming)
                .map(RequestClass::name)
                .collect(Collectors.toSet());
    }

    private void executeInIncarnation(String name, Runnable task) {
        executeInIncarnation(name, task, () -> {});
    }

    /** Executes a task, or in a later incarnation of the dispatcher {@code otherwise}, which releases what the task would have taken. */
    private void executeInIncarnation(String name, Runnable task, Runnable otherwise) {
        eventLoop.execute(name, () -> (isCurrentIncarnation.getAsBoolean() ? task : otherwise).run());
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        PendingCall call = pendingCalls.get(request);
        if (call == null) {
            return;
        }
        PendingAttempt attempt = new PendingAttempt(call, call.attempts.size(), worker, eventLoop.now());
        call.attempts.add(attempt);
        call.attemptsInFlight++;
        long remainingNanos = call.deadline - eventLoop.now();
        boolean sendable = !call.answered
                && remainingNanos > 0
                && timeoutNanos >= 0
                && attempt.index < settings.dispatcher().limits().maxAttempts();
        if (!sendable) {
            metrics.increment(Counter.SUPERSEDED);
            attempt.handle = WorkerTransport.AttemptHandle.NONE;
            executeInIncarnation("superseded", () -> pendingCalls.endAttempt(attempt, Outcome.SUPERSEDED));
            return;
        }
        metrics.increment(Counter.ATTEMPTS);
        long attemptTimeoutNanos = timeoutNanos == 0 ? remainingNanos : Math.min(timeoutNanos, remainingNanos);
        attempt.handle = workers.sendAttempt(attemptRequest(attempt, attemptTimeoutNanos), listener(attempt));
        call.addTimer(eventLoop.schedule(attemptTimeoutNanos, "timeout", () -> {
            if (attempt.stream == null) {
                pendingCalls.endAttempt(attempt, Outcome.TIMEOUT);
            }
        }));
    }

    private WorkerTransport.AttemptRequest attemptRequest(PendingAttempt attempt, long timeoutNanos) {
        PendingCall call = attempt.pendingCall;
        ClientCall clientCall = call.clientCall;
        CallHead head = clientCall.head();
        return new WorkerTransport.AttemptRequest(
                attempt.worker,
                call.externalId(),
                attempt.index,
                FunctionTable.infoOf(head),
                clientCall.requestClass(),
                head.tenant(),
                eventLoop.clock().toNanoTime(eventLoop.now() + timeoutNanos),
                head.costUs(),
                clientCall.body(),
                clientCall.contentType(),
                streamingClasses.contains(clientCall.requestClass()),
                head.idempotencyKey(),
                clientCall::checkClientCancelled,
                writeCondition(attempt.worker, SendCondition.Purpose.WORK));
    }

    private WorkerTransport.WriteCondition writeCondition(String worker, SendCondition.Purpose purpose) {
        SendCondition condition = dispatcher.get().sendCondition(eventLoop.now(), worker, purpose);
        if (condition.equals(SendCondition.NONE)) {
            return WorkerTransport.WriteCondition.NONE;
        }
        boolean isLimited = condition.notAfter() != Long.MAX_VALUE;
        long notAfterNanos = isLimited ? eventLoop.clock().toNanoTime(condition.notAfter()) : 0;
        return new WorkerTransport.WriteCondition(isLimited, notAfterNanos, condition.onNewConnection());
    }

    private WorkerTransport.AttemptListener listener(PendingAttempt attempt) {
        return new WorkerTransport.AttemptListener() {
            @Override
            public void onCompleted(ExchangeResult result) {
                executeInIncarnation(
                        "attempt-completed",
                        () -> pendingCalls.onAttemptCompleted(attempt, result),
                        () -> ReferenceCountUtil.release(result.body()));
            }

            @Override
            public void onStreamStarted(WorkerTransport.ResponseStream stream) {
                executeInIncarnation(
                        "stream-started", () -> pendingCalls.onStreamStarted(attempt, stream), stream::cancel);
            }
        };
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        PendingCall call = pendingCalls.get(request);
        if (call != null && attempt < call.attempts.size() && call.attempts.get(attempt).stream == null) {
            PendingAttempt pendingAttempt = call.attempts.get(attempt);
            executeInIncarnation("attempt-cancelled", () -> pendingCalls.endAttempt(pendingAttempt, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String request, long retryAfterNanos) {
        pendingCalls.endCall(request, FinalAnswer.REFUSED, retryAfterNanos, Counter.REJECTED);
    }

    @Override
    public void fail(String request) {
        pendingCalls.endCall(request, FinalAnswer.FAILED, 0, Counter.FAILED);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        metrics.increment(count > 0 ? Counter.LOAD_ORDERS : Counter.LOAD_QUERIES);
        WorkerTransport.FunctionInfo functionInfo = functions.find(function);
        SendCondition.Purpose purpose = count > 0 ? SendCondition.Purpose.WORK : SendCondition.Purpose.QUERY;
        long timeoutNanos = settings.dispatcher().functionLoading().loadTimeoutNanos();
        workers.ensureLoaded(worker, functionInfo, count, timeoutNanos, writeCondition(worker, purpose), result -> {
            ReferenceCountUtil.release(result.body());
            executeInIncarnation("load-completed", () -> dispatcher
                    .get()
                    .onLoadCompleted(
                            eventLoop.now(),
                            worker,
                            function,
                            result.loadedCopies(),
                            result.outcome(),
                            result.tookNanos()));
        });
    }

    @Override
    public void unload(String worker, String function) {
        metrics.increment(Counter.UNLOADS);
        workers.unload(worker, function);
    }

    @Override
    public void probe(String worker) {
        metrics.increment(Counter.PROBES);
        workers.probe(worker, result -> {
            ReferenceCountUtil.release(result.body());
            executeInIncarnation("probe-completed", () -> dispatcher
                    .get()
                    .onProbeCompleted(eventLoop.now(), worker, result.outcome(), result.tookNanos(), result.report()));
        });
    }

    /** Schedules nothing for a call that was removed: the dispatcher would ignore the timer, as it would later. */
    @Override
    public void scheduleRequestTimer(String request, String token, long delayNanos) {
        PendingCall call = pendingCalls.get(request);
        if (call != null) {
            call.addTimer(eventLoop.schedule(
                    delayNanos, "timer", () -> dispatcher.get().onTimer(eventLoop.now(), token)));
        }
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        eventLoop.schedule(delayNanos, "timer", () -> dispatcher.get().onTimer(eventLoop.now(), token));
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        peers.send(peer, payload);
    }

    @Override
    public void watchEndpoints(boolean on) {
        endpointSource.watch(on);
    }

    @Override
    public void refreshEndpoints() {
        endpointSource.refresh();
    }

    @Override
    public void closeIdleConnections(String worker) {
        workers.closeIdleConnections(worker);
    }

    @Override
    public void logDiagnostic(String text) {
        log.onDiagnostic(text);
    }
}

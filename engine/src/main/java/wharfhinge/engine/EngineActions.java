package wharfhinge.engine;

import io.netty.util.ReferenceCountUtil;
import java.util.Map;
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
import wharfhinge.protocol.FinalAnswer;

/**
 * What one life's dispatcher asks for, carried out on the loop's thread; what it causes at once is told as an event of its
 * own. Results that come after that life are dropped.
 */
final class EngineActions implements DispatcherActions {
    private final EngineSettings settings;
    private final EventLoop thread;
    private final PendingCalls calls;
    private final EngineMetrics stats;
    private final Map<String, WorkerTransport.FunctionInfo> functions;
    private final WorkerTransport workers;
    private final EndpointSource source;
    private final PeerTransport peers;
    private final AccessLog log;
    private final Supplier<Dispatcher> dispatcher;
    private final BooleanSupplier thisLife;
    private final Set<String> streamed; // names of classes

    /**
     * Actions for a dispatcher that is made with them.
     *
     * @param functions  figures of the functions called of late, by name
     * @param dispatcher the one of now
     * @param thisLife   whether that is still the one these actions were made for
     */
    EngineActions(
            EngineSettings settings,
            EventLoop thread,
            PendingCalls calls,
            EngineMetrics stats,
            Map<String, WorkerTransport.FunctionInfo> functions,
            WorkerTransport workers,
            EndpointSource source,
            PeerTransport peers,
            AccessLog log,
            Supplier<Dispatcher> dispatcher,
            BooleanSupplier thisLife) {
        this.settings = settings;
        this.thread = thread;
        this.calls = calls;
        this.stats = stats;
        this.functions = functions;
        this.workers = workers;
        this.source = source;
        this.peers = peers;
        this.log = log;
        this.dispatcher = dispatcher;
        this.thisLife = thisLife;
        this.streamed = settings.dispatcher().classes().stream()
                .filter(RequestClass::streaming)
                .map(RequestClass::name)
                .collect(Collectors.toSet());
    }

    private void tellThisLife(String name, Runnable what) {
        thread.tell(name, () -> {
            if (thisLife.getAsBoolean()) {
                what.run();
            }
        });
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        PendingCall c = calls.get(request);
        if (c == null) {
            return;
        }
        PendingAttempt a = new PendingAttempt(c, c.attempts.size(), worker, thread.now());
        c.attempts.add(a);
        c.live++;
        long left = c.deadline - thread.now();
        if (c.answered
                || left <= 0
                || timeoutNanos < 0
                || a.index >= settings.dispatcher().limits().maxAttempts()) {
            stats.add(Counter.SUPERSEDED);
            a.sent = WorkerTransport.AttemptHandle.NONE;
            tellThisLife("moot", () -> calls.end(a, Outcome.SUPERSEDED));
            return;
        }
        stats.add(Counter.ATTEMPTS);
        long wait = timeoutNanos == 0 ? left : Math.min(timeoutNanos, left);
        var head = c.call.head();
        boolean streams = streamed.contains(c.call.requestClass());
        a.sent = workers.sendAttempt(
                new WorkerTransport.AttemptRequest(
                        worker,
                        c.outerId(),
                        a.index,
                        functions.get(head.function()),
                        c.call.requestClass(),
                        head.tenant(),
                        thread.clock().nanos(thread.now() + wait),
                        head.costUs(),
                        c.call.body(),
                        c.call.contentType(),
                        streams,
                        head.idempotencyKey(),
                        c.call.clientCancelled()::get),
                new WorkerTransport.AttemptListener() {
                    @Override
                    public void onCompleted(ExchangeResult result) {
                        tellThisLife("completed", () -> calls.attemptEnded(a, result));
                    }

                    @Override
                    public void onStreamStarted(WorkerTransport.ResponseStream stream) {
                        tellThisLife("established", () -> calls.streamBegan(a, stream));
                    }
                });
        thread.timer(wait, "timeout", () -> {
            if (a.stream == null) {
                calls.end(a, Outcome.TIMEOUT);
            }
        });
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        PendingCall c = calls.get(request);
        if (c != null && attempt < c.attempts.size() && c.attempts.get(attempt).stream == null) {
            PendingAttempt a = c.attempts.get(attempt);
            tellThisLife("cancelled", () -> calls.end(a, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        calls.finalAnswer(request, FinalAnswer.REFUSED, coolDownNanos, Counter.REJECTED);
    }

    @Override
    public void fail(String request) {
        calls.finalAnswer(request, FinalAnswer.FAILED, 0, Counter.FAILED);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        stats.add(Counter.LOAD_ORDERS);
        WorkerTransport.FunctionInfo known =
                functions.getOrDefault(function, new WorkerTransport.FunctionInfo(function, 0, 0, 0));
        workers.ensureLoaded(
                worker, known, count, settings.dispatcher().functionLoading().loadTimeoutNanos(), result -> {
                    ReferenceCountUtil.release(result.body());
                    tellThisLife("resident", () -> dispatcher
                            .get()
                            .onLoadCompleted(
                                    thread.now(),
                                    worker,
                                    function,
                                    result.loadedCopies(),
                                    result.outcome(),
                                    result.tookNanos()));
                });
    }

    @Override
    public void unload(String worker, String function) {
        stats.add(Counter.UNLOADS);
        workers.unload(worker, function);
    }

    @Override
    public void probe(String worker) {
        stats.add(Counter.PROBES);
        workers.probe(worker, result -> {
            ReferenceCountUtil.release(result.body());
            tellThisLife("probed", () -> dispatcher
                    .get()
                    .onProbeCompleted(thread.now(), worker, result.outcome(), result.tookNanos(), result.report()));
        });
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        thread.timer(delayNanos, "due", () -> dispatcher.get().onTimer(thread.now(), token));
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        peers.send(peer, payload);
    }

    @Override
    public void watchEndpoints(boolean on) {
        source.watch(on);
    }

    @Override
    public void refreshEndpoints() {
        source.refresh();
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

package wharfhinge.gateway.loop;

import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import wharfhinge.config.GatewayConfig;
import wharfhinge.gateway.loop.LoopStats.Count;
import wharfhinge.gateway.loop.OpenCall.LiveAttempt;
import wharfhinge.gateway.loop.WorkerSide.Result;
import wharfhinge.gateway.roster.FleetSource;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.FinalAnswer;

/**
 * What one life's dispatcher asks for, carried out on the loop's thread; what it causes at once is told as an event of its
 * own. Results that come after that life are dropped.
 */
final class LoopActions implements DispatcherActions {
    private final GatewayConfig config;
    private final LoopThread thread;
    private final OpenCalls calls;
    private final LoopStats stats;
    private final Map<String, WorkerSide.Function> functions;
    private final WorkerSide workers;
    private final FleetSource source;
    private final PeerLink peers;
    private final AnswerLog log;
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
    LoopActions(
            GatewayConfig config,
            LoopThread thread,
            OpenCalls calls,
            LoopStats stats,
            Map<String, WorkerSide.Function> functions,
            WorkerSide workers,
            FleetSource source,
            PeerLink peers,
            AnswerLog log,
            Supplier<Dispatcher> dispatcher,
            BooleanSupplier thisLife) {
        this.config = config;
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
        this.streamed = config.settings().classes().stream()
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
        OpenCall c = calls.get(request);
        if (c == null) {
            return;
        }
        LiveAttempt a = new LiveAttempt(c, c.attempts.size(), worker, thread.now());
        c.attempts.add(a);
        c.live++;
        long left = c.deadline - thread.now();
        if (c.answered
                || left <= 0
                || timeoutNanos < 0
                || a.index >= config.settings().limits().maxAttempts()) {
            stats.add(Count.MOOT);
            a.sent = WorkerSide.Sent.NONE;
            tellThisLife("moot", () -> calls.end(a, Outcome.SUPERSEDED));
            return;
        }
        stats.add(Count.ATTEMPTS);
        long wait = timeoutNanos == 0 ? left : Math.min(timeoutNanos, left);
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
                        thread.clock().nanos(thread.now() + wait),
                        head.costUs(),
                        c.call.body(),
                        c.call.contentType(),
                        streams,
                        head.idempotencyKey(),
                        c.call.clientGone()::get),
                new WorkerSide.AttemptListener() {
                    @Override
                    public void ended(Result result) {
                        tellThisLife("completed", () -> calls.attemptEnded(a, result));
                    }

                    @Override
                    public void began(WorkerSide.Stream stream) {
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
        OpenCall c = calls.get(request);
        if (c != null && attempt < c.attempts.size() && c.attempts.get(attempt).stream == null) {
            LiveAttempt a = c.attempts.get(attempt);
            tellThisLife("cancelled", () -> calls.end(a, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        calls.finalAnswer(request, FinalAnswer.REFUSED, coolDownNanos, Count.REFUSED);
    }

    @Override
    public void fail(String request) {
        calls.finalAnswer(request, FinalAnswer.FAILED, 0, Count.FAILED);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        stats.add(Count.HOLDS);
        WorkerSide.Function known = functions.getOrDefault(function, new WorkerSide.Function(function, 0, 0, 0));
        workers.hold(worker, known, count, config.settings().functionLoading().loadTimeoutNanos(), result -> {
            ReferenceCountUtil.release(result.body());
            tellThisLife("resident", () -> dispatcher
                    .get()
                    .onLoadCompleted(
                            thread.now(), worker, function, result.count(), result.outcome(), result.tookNanos()));
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
        peers.publish(peer, payload);
    }

    @Override
    public void watchEndpoints(boolean on) {
        source.listen(on);
    }

    @Override
    public void refreshEndpoints() {
        source.reload();
    }

    @Override
    public void closeIdleConnections(String worker) {
        workers.hangUp(worker);
    }

    @Override
    public void logDiagnostic(String text) {
        log.remark(text);
    }
}

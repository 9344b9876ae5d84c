package wharfhinge.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.client.core.CallPlan;
import wharfhinge.client.core.CallResult;
import wharfhinge.client.core.ClientDecisions;
import wharfhinge.client.core.ClientPolicy;

/**
 * Makes calls through one or more gateways. {@link ClientDecisions} makes all decisions, on one thread; the transport only sends
 * attempts. Thread-safe. Every call ends with exactly one {@link Result}, at its deadline at the latest, unless its streamed answer
 * has started. A result is never reported as an exception.
 */
public final class WharfhingeClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WharfhingeClient.class);

    /** A call that has not ended. */
    private static final class PendingCall {
        private final Call call;
        private final CompletableFuture<Result> result;
        private final ResponsePartListener parts; // null unless the answer is streamed
        private final Map<Integer, Transport.AttemptHandle> attemptsInFlight = new HashMap<>();
        private final Map<Integer, Transport.Reply> replies = new HashMap<>();
        private final List<Future<?>> timers = new ArrayList<>(2);

        PendingCall(Call call, CompletableFuture<Result> result, ResponsePartListener parts) {
            this.parts = parts;
            this.call = call;
            this.result = result;
        }
    }

    private final Transport transport;
    private final ScheduledThreadPoolExecutor executor;
    private final ClientDecisions decisions;
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private final AtomicLong ids = new AtomicLong();
    private final long origin = System.nanoTime();
    private volatile boolean closed;

    /**
     * Creates a client and starts its thread.
     *
     * @param transport closed with the client
     * @param gateways  the gateways' addresses ({@code host:port}), which {@link #gateways} replaces
     */
    public WharfhingeClient(Transport transport, ClientPolicy policy, List<String> gateways) {
        this.transport = Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(policy, "policy");
        this.executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread daemon = new Thread(task, "wharfhinge-client");
            daemon.setDaemon(true);
            return daemon;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setRejectedExecutionHandler((late, pool) -> LOG.debug("event ignored: the client is closed"));
        this.decisions = new ClientDecisions(policy, RandomGenerator.getDefault(), new TransportActions());
        gateways(gateways);
    }

    private long now() {
        return System.nanoTime() - origin; // monotonic, unlike the wall clock
    }

    /** Replaces the list of gateways; attempts in flight continue at their gateway. */
    public void gateways(List<String> names) {
        List<String> list = List.copyOf(names);
        executor.execute(() -> decisions.onGatewayList(list));
    }

    /** The current metrics, read on the client's thread. */
    public CompletableFuture<ClientDecisions.Metrics> metrics() {
        return CompletableFuture.supplyAsync(decisions::metrics, executor);
    }

    /** Starts a call. Cancelling the future abandons its attempts, and the gateways are notified. */
    public CompletableFuture<Result> call(Call call) {
        return start(call, null);
    }

    /**
     * Starts a call with a streamed answer. Its result follows the last part: served with an empty body, or failed (broke-off) if the
     * stream ended early. Rejections, retries and the deadline are as for other calls until the answer starts. Cancelling the future ends
     * the stream; so does an exception thrown by {@code to}, with a cancelled result.
     */
    public CompletableFuture<Result> stream(Call call, ResponsePartListener to) {
        return start(call, Objects.requireNonNull(to, "to"));
    }

    private CompletableFuture<Result> start(Call call, ResponsePartListener parts) {
        if (call.streams() != (parts != null)) {
            throw new IllegalArgumentException("call " + call.function() + ": found "
                    + (call.streams() ? "one that streams" : "one that " + "does not stream")
                    + ", allowed: stream() for calls that stream, call() for others");
        }
        CompletableFuture<Result> result = new CompletableFuture<>();
        long id = ids.incrementAndGet();
        long submittedAt = now();
        if (closed) {
            result.complete(new Result.Cancelled(false, 0));
            return result;
        }
        executor.execute(() -> {
            calls.put(id, new PendingCall(call, result, parts));
            long waitedNanos = now() - submittedAt;
            long remainingNanos = Math.max(1, call.deadline().toNanos() - waitedNanos);
            decisions.onCall(now(), id, new CallPlan(remainingNanos, call.safe(), call.hedge()));
        });
        if (closed) { // closed in the meantime: the task may never run
            result.complete(new Result.Cancelled(false, 0));
        }
        result.whenComplete((ignoredResult, ignoredFailure) -> {
            if (result.isCancelled() && !closed) {
                executor.execute(() -> decisions.onCancelled(now(), id));
            }
        });
        return result;
    }

    /** Makes a call and waits for its result. An interrupt cancels the call. */
    public Result callAndWait(Call call) throws InterruptedException {
        CompletableFuture<Result> result = call(call);
        try {
            return result.get();
        } catch (InterruptedException e) {
            result.cancel(true);
            throw e;
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Cancels all pending calls with {@link Result.Cancelled} and closes the transport; waits at most one second. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        executor.execute(() -> List.copyOf(calls.keySet()).forEach(id -> decisions.onCancelled(now(), id)));
        executor.shutdown();
        executor.awaitTermination(Duration.ofSeconds(1).toMillis(), TimeUnit.MILLISECONDS);
        executor.shutdownNow();
        transport.close();
    }

    /** Executes the actions of the decisions, on the client's thread. */
    private final class TransportActions implements ClientDecisions.Actions {
        @Override
        public void sendAttempt(long id, int index, String gateway, long remainingNanos, boolean repeat) {
            PendingCall pendingCall = calls.get(id);
            pendingCall.attemptsInFlight.put(
                    index,
                    transport.send(
                            gateway,
                            pendingCall.call,
                            remainingNanos,
                            repeat,
                            new AttemptListener(id, index, pendingCall)));
        }

        @Override
        public void abandonAttempt(long id, int index) {
            Transport.AttemptHandle handle = calls.get(id).attemptsInFlight.remove(index);
            if (handle != null) {
                handle.abandon();
            }
        }

        @Override
        public void finish(long id, CallResult callResult, int index) {
            PendingCall pendingCall = calls.remove(id);
            pendingCall.timers.forEach(timer -> timer.cancel(false)); // else timers of long deadlines would accumulate
            Transport.Reply reply = index < 0 ? null : pendingCall.replies.get(index);
            pendingCall.result.complete(result(callResult, reply));
        }

        @Override
        public void scheduleTimer(long id, int token, long delayNanos) {
            calls.get(id)
                    .timers
                    .add(executor.schedule(
                            () -> {
                                try {
                                    decisions.onTimer(now(), id, token);
                                } catch (RuntimeException e) {
                                    LOG.error("unexpected exception while handling a timer of a call", e);
                                }
                            },
                            delayNanos,
                            TimeUnit.NANOSECONDS));
        }
    }

    /** Passes the events of one attempt to the client's thread, in order. */
    private final class AttemptListener implements Transport.Listener {
        private final long id;
        private final int index;
        private final PendingCall pendingCall;
        private boolean streaming; // used only on the client's thread

        AttemptListener(long id, int index, PendingCall pendingCall) {
            this.id = id;
            this.index = index;
            this.pendingCall = pendingCall;
        }

        @Override
        public void onEnded(Transport.Reply reply) {
            executor.execute(() -> {
                if (calls.get(id) == pendingCall) {
                    pendingCall.replies.put(index, reply);
                    pendingCall.attemptsInFlight.remove(index);
                    decisions.onAttemptEnded(now(), id, index, reply.result(), reply.retryAfterNanos());
                }
            });
        }

        @Override
        public void onStreamStarted(String worker, String contentType) {
            executor.execute(() -> {
                streaming = calls.get(id) == pendingCall && decisions.onStreamStarted(now(), id, index);
                deliver(() -> pendingCall.parts.onStarted(worker, contentType));
            });
        }

        @Override
        public void onPart(byte[] bytes, Runnable more) {
            executor.execute(() -> deliver(() -> pendingCall.parts.onPart(bytes, more)));
        }

        private void deliver(Runnable delivery) {
            if (!streaming || calls.get(id) != pendingCall) {
                return;
            }
            try {
                delivery.run();
            } catch (RuntimeException e) {
                LOG.warn("listener of a streamed answer threw an exception; the call is cancelled", e);
                decisions.onCancelled(now(), id);
            }
        }
    }

    private static Result result(CallResult callResult, Transport.Reply reply) {
        String reason = (reply == null || reply.reason() == null ? "" : reply.reason())
                + (callResult.reason() == CallResult.Reason.ANSWERED
                        ? ""
                        : " ("
                                + callResult
                                        .reason()
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT)
                                        .replace('_', '-') + ")");
        return switch (callResult.kind()) {
            case SERVED -> new Result.Served(reply.body(), reply.contentType(), reply.worker(), callResult.attempts());
            case REFUSED -> new Result.Refused(
                    Duration.ofNanos(callResult.retryAfterNanos()), reason.strip(), callResult.attempts());
            case FAILED -> new Result.Failed(reason.strip(), callResult.attempts());
            case LATE -> new Result.Late(callResult.mayHaveRun(), callResult.attempts());
            case INVALID -> new Result.Invalid(reason.strip(), callResult.attempts());
            case CANCELLED -> new Result.Cancelled(callResult.mayHaveRun(), callResult.attempts());
        };
    }
}

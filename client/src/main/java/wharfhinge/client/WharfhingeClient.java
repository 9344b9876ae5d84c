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
 * Calls through one or more gateways. All decisions are those of {@link ClientDecisions}, on one thread; the transport only carries.
 * Any thread may call. Every call ends with exactly one {@link Result}, at its deadline at the latest; no exception stands for one.
 */
public final class WharfhingeClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WharfhingeClient.class);

    /** A call under way. */
    private static final class PendingCall {
        private final Call call;
        private final CompletableFuture<Result> result;
        private final ResponsePartListener parts; // null for answers that come whole
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
     * A client.
     *
     * @param transport closed with the client
     * @param gateways  their addresses, {@code host:port}; may change later
     */
    public WharfhingeClient(Transport transport, ClientPolicy policy, List<String> gateways) {
        this.transport = Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(policy, "policy");
        this.executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread daemon = new Thread(r, "wharfhinge-client");
            daemon.setDaemon(true);
            return daemon;
        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setRejectedExecutionHandler((late, pool) -> LOG.debug("told after the client was closed"));
        this.decisions = new ClientDecisions(policy, RandomGenerator.getDefault(), new TransportActions());
        gateways(gateways);
    }

    private long now() {
        return System.nanoTime() - origin; // the wall clock may jump as it likes
    }

    /** The gateways there are from now on; calls under way end where they are. */
    public void gateways(List<String> names) {
        List<String> list = List.copyOf(names);
        executor.execute(() -> decisions.onGatewayList(list));
    }

    /** What is counted; asked of the client's own thread. */
    public CompletableFuture<ClientDecisions.Metrics> metrics() {
        return CompletableFuture.supplyAsync(decisions::metrics, executor);
    }

    /** Calls. Cancelling the future gives the call up: its tries are abandoned and gateways told. */
    public CompletableFuture<Result> call(Call call) {
        return start(call, null);
    }

    /**
     * Calls for an answer in parts. The result comes after the last part: served with an empty body, or failed (broke-off) where the parts
     * are not all. Refusals, further tries and the deadline are as for other calls until the answer begins. Cancelling the future ends the
     * stream; what {@code to} throws ends it too, as cancelled.
     */
    public CompletableFuture<Result> stream(Call call, ResponsePartListener to) {
        return start(call, Objects.requireNonNull(to, "to"));
    }

    private CompletableFuture<Result> start(Call call, ResponsePartListener parts) {
        if (call.streams() != (parts != null)) {
            throw new IllegalArgumentException("call " + call.function() + ": found "
                    + (call.streams() ? "one that streams" : "one that " + "does not stream")
                    + ", allowed: streamed ones with stream(), others with call()");
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
        if (closed) { // while it was handed over: nobody may be left to take it
            result.complete(new Result.Cancelled(false, 0));
        }
        result.whenComplete((r, e) -> {
            if (result.isCancelled() && !closed) {
                executor.execute(() -> decisions.onCancelled(now(), id));
            }
        });
        return result;
    }

    /** Calls and waits. An interrupt gives the call up. */
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

    /** Gives up what is open, each call with {@link Result.Cancelled}, and closes the transport; waits a second at most. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        executor.execute(() -> List.copyOf(calls.keySet()).forEach(id -> decisions.onCancelled(now(), id)));
        executor.shutdown();
        executor.awaitTermination(Duration.ofSeconds(1).toMillis(), TimeUnit.MILLISECONDS);
        executor.shutdownNow();
        transport.close();
    }

    /** What the decisions ask for; on the client's thread. */
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
        public void finish(long id, CallResult end, int index) {
            PendingCall pendingCall = calls.remove(id);
            pendingCall.timers.forEach(t -> t.cancel(false)); // long deadlines must not pile up
            Transport.Reply reply = index < 0 ? null : pendingCall.replies.get(index);
            pendingCall.result.complete(result(end, reply));
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
                                    LOG.error("client's decisions", e);
                                }
                            },
                            delayNanos,
                            TimeUnit.NANOSECONDS));
        }
    }

    /** What the transport tells of one try, handed to the client's thread in order. */
    private final class AttemptListener implements Transport.Listener {
        private final long id;
        private final int index;
        private final PendingCall pendingCall;
        private boolean streaming; // on the client's thread

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
                LOG.warn("the reader of a streamed answer failed, it is given up", e);
                decisions.onCancelled(now(), id);
            }
        }
    }

    private static Result result(CallResult end, Transport.Reply reply) {
        String reason = (reply == null || reply.reason() == null ? "" : reply.reason())
                + (end.reason() == CallResult.Reason.ANSWERED
                        ? ""
                        : " ("
                                + end.reason()
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT)
                                        .replace('_', '-') + ")");
        return switch (end.kind()) {
            case SERVED -> new Result.Served(reply.body(), reply.contentType(), reply.worker(), end.attempts());
            case REFUSED -> new Result.Refused(Duration.ofNanos(end.retryAfterNanos()), reason.strip(), end.attempts());
            case FAILED -> new Result.Failed(reason.strip(), end.attempts());
            case LATE -> new Result.Late(end.mayHaveRun(), end.attempts());
            case INVALID -> new Result.Invalid(reason.strip(), end.attempts());
            case CANCELLED -> new Result.Cancelled(end.mayHaveRun(), end.attempts());
        };
    }
}

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
import wharfhinge.client.core.CallEnd;
import wharfhinge.client.core.CallPlan;
import wharfhinge.client.core.ClientDecisions;
import wharfhinge.client.core.ClientPolicy;

/**
 * Calls through one or more gateways. All decisions are those of {@link ClientDecisions}, on one thread; the transport only carries.
 * Any thread may call. Every call ends with exactly one {@link Result}, at its deadline at the latest; no exception stands for one.
 */
public final class WharfhingeClient implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WharfhingeClient.class);

    /** A call under way. */
    private static final class Open {
        private final Call call;
        private final CompletableFuture<Result> result;
        private final Parts parts; // null for answers that come whole
        private final Map<Integer, Transport.Try> out = new HashMap<>();
        private final Map<Integer, Transport.Reply> replies = new HashMap<>();
        private final List<Future<?>> timers = new ArrayList<>(2);

        Open(Call call, CompletableFuture<Result> result, Parts parts) {
            this.parts = parts;
            this.call = call;
            this.result = result;
        }
    }

    private final Transport transport;
    private final ScheduledThreadPoolExecutor thread;
    private final ClientDecisions decisions;
    private final Map<Long, Open> calls = new HashMap<>();
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
        this.thread = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "wharfhinge-client");
            t.setDaemon(true);
            return t;
        });
        thread.setRemoveOnCancelPolicy(true);
        thread.setRejectedExecutionHandler((late, pool) -> LOG.debug("told after the client was closed"));
        this.decisions = new ClientDecisions(policy, RandomGenerator.getDefault(), new Doing());
        gateways(gateways);
    }

    private long now() {
        return System.nanoTime() - origin; // the wall clock may jump as it likes
    }

    /** The gateways there are from now on; calls under way end where they are. */
    public void gateways(List<String> names) {
        List<String> list = List.copyOf(names);
        thread.execute(() -> decisions.gateways(list));
    }

    /** What is counted; asked of the client's own thread. */
    public CompletableFuture<ClientDecisions.Figures> figures() {
        return CompletableFuture.supplyAsync(decisions::figures, thread);
    }

    /** Calls. Cancelling the future gives the call up: its tries are abandoned and gateways told. */
    public CompletableFuture<Result> call(Call call) {
        return begin(call, null);
    }

    /**
     * Calls for an answer in parts. The result comes after the last part: served with an empty body, or failed (broke-off) where the parts
     * are not all. Refusals, further tries and the deadline are as for other calls until the answer begins. Cancelling the future ends the
     * stream; what {@code to} throws ends it too, as cancelled.
     */
    public CompletableFuture<Result> stream(Call call, Parts to) {
        return begin(call, Objects.requireNonNull(to, "to"));
    }

    private CompletableFuture<Result> begin(Call call, Parts parts) {
        if (call.streams() != (parts != null)) {
            throw new IllegalArgumentException("call " + call.function() + ": found "
                    + (call.streams() ? "one that streams" : "one that " + "does not stream")
                    + ", allowed: streamed ones with stream(), others with call()");
        }
        CompletableFuture<Result> result = new CompletableFuture<>();
        long id = ids.incrementAndGet();
        long begun = now();
        if (closed) {
            result.complete(new Result.Cancelled(false, 0));
            return result;
        }
        thread.execute(() -> {
            calls.put(id, new Open(call, result, parts));
            long waited = now() - begun;
            long left = Math.max(1, call.deadline().toNanos() - waited);
            decisions.begin(now(), id, new CallPlan(left, call.safe(), call.hedge()));
        });
        if (closed) { // while it was handed over: nobody may be left to take it
            result.complete(new Result.Cancelled(false, 0));
        }
        result.whenComplete((r, e) -> {
            if (result.isCancelled() && !closed) {
                thread.execute(() -> decisions.cancel(now(), id));
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
        thread.execute(() -> List.copyOf(calls.keySet()).forEach(id -> decisions.cancel(now(), id)));
        thread.shutdown();
        thread.awaitTermination(Duration.ofSeconds(1).toMillis(), TimeUnit.MILLISECONDS);
        thread.shutdownNow();
        transport.close();
    }

    /** What the decisions ask for; on the client's thread. */
    private final class Doing implements ClientDecisions.Actions {
        @Override
        public void send(long id, int index, String gateway, long remainingNanos, boolean repeat) {
            Open open = calls.get(id);
            open.out.put(index, transport.send(gateway, open.call, remainingNanos, repeat, new Told(id, index, open)));
        }

        @Override
        public void abandon(long id, int index) {
            Transport.Try out = calls.get(id).out.remove(index);
            if (out != null) {
                out.abandon();
            }
        }

        @Override
        public void finish(long id, CallEnd end, int index) {
            Open open = calls.remove(id);
            open.timers.forEach(t -> t.cancel(false)); // long deadlines must not pile up
            Transport.Reply reply = index < 0 ? null : open.replies.get(index);
            open.result.complete(result(end, reply));
        }

        @Override
        public void timer(long id, int token, long delayNanos) {
            calls.get(id)
                    .timers
                    .add(thread.schedule(
                            () -> {
                                try {
                                    decisions.due(now(), id, token);
                                } catch (RuntimeException e) {
                                    LOG.error("client's decisions", e);
                                }
                            },
                            delayNanos,
                            TimeUnit.NANOSECONDS));
        }
    }

    /** What the transport tells of one try, handed to the client's thread in order. */
    private final class Told implements Transport.Listener {
        private final long id;
        private final int index;
        private final Open open;
        private boolean streams; // on the client's thread

        Told(long id, int index, Open open) {
            this.id = id;
            this.index = index;
            this.open = open;
        }

        @Override
        public void ended(Transport.Reply reply) {
            thread.execute(() -> {
                if (calls.get(id) == open) {
                    open.replies.put(index, reply);
                    open.out.remove(index);
                    decisions.ended(now(), id, index, reply.end(), reply.adviceNanos());
                }
            });
        }

        @Override
        public void began(String worker, String contentType) {
            thread.execute(() -> {
                streams = calls.get(id) == open && decisions.began(now(), id, index);
                told(() -> open.parts.began(worker, contentType));
            });
        }

        @Override
        public void part(byte[] bytes, Runnable more) {
            thread.execute(() -> told(() -> open.parts.part(bytes, more)));
        }

        private void told(Runnable what) {
            if (!streams || calls.get(id) != open) {
                return;
            }
            try {
                what.run();
            } catch (RuntimeException e) {
                LOG.warn("the reader of a streamed answer failed, it is given up", e);
                decisions.cancel(now(), id);
            }
        }
    }

    private static Result result(CallEnd end, Transport.Reply reply) {
        String reason = (reply == null || reply.reason() == null ? "" : reply.reason())
                + (end.reason() == CallEnd.Reason.ANSWERED
                        ? ""
                        : " ("
                                + end.reason()
                                        .name()
                                        .toLowerCase(java.util.Locale.ROOT)
                                        .replace('_', '-') + ")");
        return switch (end.kind()) {
            case SERVED -> new Result.Served(reply.body(), reply.contentType(), reply.worker(), end.tries());
            case REFUSED -> new Result.Refused(Duration.ofNanos(end.comeBackNanos()), reason.strip(), end.tries());
            case FAILED -> new Result.Failed(reason.strip(), end.tries());
            case LATE -> new Result.Late(end.mayHaveRun(), end.tries());
            case INVALID -> new Result.Invalid(reason.strip(), end.tries());
            case CANCELLED -> new Result.Cancelled(end.mayHaveRun(), end.tries());
        };
    }
}

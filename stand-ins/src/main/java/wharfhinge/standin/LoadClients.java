package wharfhinge.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import wharfhinge.protocol.ClientProtocol;

/**
 * Open-loop clients: send calls at a given rate whatever their outcome, retry where that is safe, and cancel after a time. All calls are
 * drawn from a seeded random source, so that two runs offer the same calls. Faults may be set from any thread.
 */
public final class LoadClients implements AutoCloseable {
    /** Wait after a call's deadline before cancelling it: longer than the trace verifier's tolerance, so that late answers are seen. */
    private static final long CANCEL_AFTER_DEADLINE_MS = 400;

    private static final int ID_BASE = 1_000_000;

    /**
     * A class of calls; times in milliseconds.
     *
     * @param share        of all single calls
     * @param objectiveMillis    latency objective
     * @param deadlineMillis deadline
     */
    public record CallClass(
            String name,
            String effect,
            double share,
            long objectiveMillis,
            long deadlineMillis,
            double workMillis,
            double loadMillis,
            double memoryMb,
            int lanes) {}

    /**
     * The offered traffic.
     *
     * @param callsPerSecond                calls a second
     * @param functions           number of functions in each class
     * @param zipf                exponent of the popularity of functions
     * @param retries             retries of a call at most
     * @param chainShare          share of calls that are chains
     * @param chainDeadlineMillis deadline of a chain
     */
    public record Traffic(
            double callsPerSecond,
            int functions,
            double zipf,
            int retries,
            List<CallClass> classes,
            double chainShare,
            long chainDeadlineMillis) {}

    private final Traffic traffic;
    private final Trace trace;
    private final List<HttpCaller> gateways = new ArrayList<>();
    private final List<String> gatewayNames = new ArrayList<>();
    private final UniformRandomProvider random;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger openCalls = new AtomicInteger();
    private final double[] popularity;
    private int nextCallNumber = ID_BASE;
    private volatile double rateFactor = 1;
    private volatile double hotShare;
    private volatile int hotFunctions = 1;
    private volatile double scanShare;
    private volatile double heavyShare;
    private volatile double heavyFactor = 1;
    private volatile double earlyCancelShare;
    private volatile double firstGatewayShare;
    private volatile boolean stopped;

    /** Clients of gateways, given as ports by name. */
    public LoadClients(EventLoopGroup group, Map<String, Integer> gateways, Traffic traffic, long seed, Trace trace) {
        this.traffic = traffic;
        this.trace = trace;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        gateways.forEach((name, port) -> {
            gatewayNames.add(name);
            this.gateways.add(new HttpCaller(group, port));
        });
        popularity = new double[traffic.functions()];
        double sum = 0;
        for (int i = 0; i < popularity.length; i++) {
            sum += 1 / Math.pow(i + 2, traffic.zipf());
            popularity[i] = sum;
        }
    }

    // ---- Faults -----------------------------------------------------------------------------

    /** Multiplies the call rate by a factor. */
    public void rate(double factor) {
        rateFactor = factor;
    }

    /** Sends a share of the calls to a number of functions that were not called before. */
    public void hot(double share, int functions) {
        hotShare = share;
        hotFunctions = Math.max(1, functions);
    }

    /** Sends a share of the calls to functions that are called only once. */
    public void scan(double share) {
        scanShare = share;
    }

    /** Multiplies the work of a share of the calls by a factor. */
    public void heavy(double share, double factor) {
        heavyShare = share;
        heavyFactor = factor;
    }

    /** Cancels a share of the calls after a third of their time to the deadline. */
    public void cancelEarly(double share) {
        earlyCancelShare = share;
    }

    /** Sends a share of the calls to the first gateway and spreads the others evenly over all. */
    public void preferFirstGateway(double share) {
        firstGatewayShare = share;
    }

    // ---- Sending ----------------------------------------------------------------------------

    /** Starts to send calls, for a number of seconds. */
    public void start(double seconds) {
        long now = System.nanoTime();
        scheduleNext(now, now + (long) (seconds * 1e9));
    }

    private void scheduleNext(long at, long end) {
        if (stopped || at >= end) {
            return;
        }
        timer.schedule(
                () -> {
                    if (random.nextDouble() < traffic.chainShare()) {
                        sendChain();
                    } else {
                        send(draw(), 0, null);
                    }
                    scheduleNext(
                            at
                                    + (long) (-Math.log(1 - random.nextDouble())
                                            * 1e9
                                            / (traffic.callsPerSecond() * rateFactor)),
                            end);
                },
                at - System.nanoTime(),
                TimeUnit.NANOSECONDS);
    }

    private record PlannedCall(
            CallClass callClass, String function, double workMillis, boolean cancelsEarly, long deadlineNanos) {}

    private PlannedCall draw() {
        CallClass callClass = traffic.classes().get(traffic.classes().size() - 1);
        double share = random.nextDouble();
        for (CallClass candidate : traffic.classes()) {
            if (share < candidate.share()) {
                callClass = candidate;
                break;
            }
            share -= candidate.share();
        }
        double selector = random.nextDouble();
        String function = callClass.name() + "-";
        if (selector < hotShare) {
            function += "hot" + random.nextInt(hotFunctions);
        } else if (selector < hotShare + scanShare) {
            function += "once" + nextCallNumber;
        } else {
            double drawn = random.nextDouble() * popularity[popularity.length - 1];
            int rank = 0;
            while (popularity[rank] < drawn) {
                rank++;
            }
            function += rank;
        }
        double work = -Math.log(1 - random.nextDouble()) * 0.5 + 0.5; // half constant, half exponential, with mean 1
        work *= callClass.workMillis() * (random.nextDouble() < heavyShare ? heavyFactor : 1);
        return new PlannedCall(
                callClass,
                function,
                work,
                random.nextDouble() < earlyCancelShare,
                System.nanoTime() + callClass.deadlineMillis() * 1_000_000L);
    }

    private void send(PlannedCall planned, int retriesSoFar, String retryOf) {
        String id = "c" + nextCallNumber++;
        int gateway = random.nextDouble() < firstGatewayShare ? 0 : random.nextInt(gateways.size());
        CallClass callClass = planned.callClass();
        long remainingMillis = (planned.deadlineNanos() - System.nanoTime()) / 1_000_000L;
        if (remainingMillis < 5) {
            return;
        }
        Map<CharSequence, String> headers = new LinkedHashMap<>();
        headers.put(ClientProtocol.ID, id);
        headers.put(ClientProtocol.CLASS, callClass.name());
        headers.put(ClientProtocol.DEADLINE_MS, Long.toString(remainingMillis));
        headers.put(ClientProtocol.MEMORY_MB, Double.toString(callClass.memoryMb()));
        headers.put(ClientProtocol.LANES, Integer.toString(callClass.lanes()));
        headers.put(ClientProtocol.LOAD_MS, Double.toString(callClass.loadMillis()));
        if (retryOf != null) {
            headers.put(ClientProtocol.REPEAT, "1");
        }
        openCalls.incrementAndGet();
        Attempt attempt = new Attempt(planned, retriesSoFar, id, gatewayNames.get(gateway));
        byte[] body = ByteBuffer.allocate(64)
                .putLong((long) (planned.workMillis() * 1000))
                .array();
        trace.note(
                "offer",
                "call",
                id,
                "gw",
                gatewayNames.get(gateway),
                "class",
                callClass.name(),
                "fn",
                planned.function(),
                "deadline_ms",
                remainingMillis,
                "former",
                retryOf == null ? "-" : retryOf);
        attempt.call = gateways.get(gateway)
                .call(HttpMethod.POST, ClientProtocol.CALL_PATH + planned.function(), headers, body, attempt);
        attempt.cancelAfter(
                planned.cancelsEarly() ? remainingMillis / 3 : remainingMillis + CANCEL_AFTER_DEADLINE_MS,
                planned.cancelsEarly());
    }

    /** Sends a chain: two sequential steps, or two parallel steps and one that joins them. Its objective is sent as its deadline. */
    private void sendChain() {
        String id = "c" + nextCallNumber++;
        int gateway = random.nextInt(gateways.size());
        boolean hasJoin = random.nextInt(3) == 0;
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < (hasJoin ? 3 : 2); i++) {
            PlannedCall step = draw();
            String input = i == 0 || hasJoin && i == 1 ? "\"client\"" : hasJoin ? "\"s0\",\"s1\"" : "\"s0\"";
            steps.append(i == 0 ? "" : ",")
                    .append(String.format(
                            java.util.Locale.ROOT,
                            "{\"id\":\"s%d\",\"function\":\"%s\","
                                    + "\"class\":\"%s\",\"input\":[%s],\"cost_us\":%d,\"memory_mb\":%s,\"lanes\":%d,\"load_ms\":%s}",
                            i,
                            step.function(),
                            step.callClass().name(),
                            input,
                            (long) (step.workMillis() * 1000),
                            step.callClass().memoryMb(),
                            step.callClass().lanes(),
                            step.callClass().loadMillis()));
        }
        String json = "{\"id\":\"" + id + "\",\"deadline_ms\":" + traffic.chainDeadlineMillis()
                + ",\"input\":\"in\",\"steps\":[" + steps + "]}";
        openCalls.incrementAndGet();
        trace.note(
                "offer",
                "call",
                id,
                "gw",
                gatewayNames.get(gateway),
                "class",
                "chain",
                "fn",
                "chain",
                "deadline_ms",
                traffic.chainDeadlineMillis(),
                "former",
                "-");
        Attempt attempt = new Attempt(null, traffic.retries(), id, gatewayNames.get(gateway));
        attempt.call = gateways.get(gateway)
                .call(
                        HttpMethod.POST,
                        ClientProtocol.CHAIN_PATH,
                        Map.of(),
                        json.getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        attempt);
        attempt.cancelAfter(traffic.chainDeadlineMillis() + CANCEL_AFTER_DEADLINE_MS, false);
    }

    /** The number of calls in flight. */
    public int open() {
        return openCalls.get();
    }

    @Override
    public void close() {
        stopped = true;
        timer.shutdownNow();
    }

    private final class Attempt implements HttpCaller.ResponseHandler {
        private final PlannedCall planned;
        private final int retriesSoFar;
        private final String id;
        private final String gateway;
        private HttpCaller.Call call;
        private ScheduledFuture<?> timeout;
        private long timeoutMillis;
        private boolean early;
        private boolean finished;

        Attempt(PlannedCall planned, int retriesSoFar, String id, String gateway) {
            this.planned = planned;
            this.retriesSoFar = retriesSoFar;
            this.id = id;
            this.gateway = gateway;
        }

        /** Sets the time after which the call is cancelled; counted from now, and restarted when the request is sent. */
        private synchronized void cancelAfter(long millis, boolean isEarly) {
            timeoutMillis = millis;
            early = isEarly;
            restartTimeout();
        }

        private void restartTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (!finished && !timer.isShutdown()) {
                timeout = timer.schedule(this::cancelCall, timeoutMillis, TimeUnit.MILLISECONDS);
            }
        }

        private void cancelCall() {
            if (finish()) {
                trace.note("left", "call", id, "gw", gateway, "early", early);
                call.abandon();
            }
        }

        private synchronized boolean finish() {
            if (finished) {
                return false;
            }
            finished = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            openCalls.decrementAndGet();
            return true;
        }

        @Override
        public void sent() {
            trace.note("sent", "call", id, "gw", gateway);
            synchronized (this) {
                if (timeout != null) { // the deadline in the request is relative to the moment at which it is sent
                    restartTimeout();
                }
            }
        }

        @Override
        public void answered(int status, HttpHeaders headers, byte[] body) {
            if (!finish()) {
                return;
            }
            String answer = headers.get(ClientProtocol.ANSWER, "none");
            trace.note(
                    "answer",
                    "call",
                    id,
                    "gw",
                    gateway,
                    "status",
                    status,
                    "kind",
                    answer,
                    "own",
                    status != 200 || planned == null || new String(body).equals(id),
                    "worker",
                    headers.get(ClientProtocol.WORKER, "-"),
                    "reason",
                    headers.get(ClientProtocol.REASON, "-"),
                    "attempts",
                    headers.getInt(ClientProtocol.ATTEMPTS.toString(), 0));
            if (planned == null) {
                return; // chains are not retried: the result of a single attempt is measured
            }
            boolean idempotent = planned.callClass().effect().equals("idempotent");
            if (answer.equals("refused") || answer.equals("failed") && idempotent) {
                long retryAfterMillis = headers.getInt(ClientProtocol.RETRY_AFTER_MS.toString(), 20);
                retryLater(retryAfterMillis);
            }
        }

        @Override
        public void broken(boolean wasSent) {
            if (finish()) {
                trace.note("broken", "call", id, "gw", gateway, "sent", wasSent);
                if (planned != null && (!wasSent || planned.callClass().effect().equals("idempotent"))) {
                    retryLater(50);
                }
            }
        }

        private void retryLater(long waitMillis) {
            if (retriesSoFar < traffic.retries() && !stopped && !timer.isShutdown()) {
                timer.schedule(() -> send(planned, retriesSoFar + 1, id), waitMillis, TimeUnit.MILLISECONDS);
            }
        }
    }
}

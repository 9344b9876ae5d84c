package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.WorkerProtocol;

/**
 * Sends requests to workers over HTTP/2 without TLS, with one connection pool per worker, each confined to one I/O event loop.
 * Thread-safe: each method only submits a task to the pool's event loop.
 */
public final class HttpWorkerTransport implements WorkerTransport {
    private static final long MIN_SWEEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SWEEPS_PER_IDLE_TIMEOUT = 4;

    private final GatewayConfig config;
    private final EventLoopGroup group;
    private final Class<? extends Channel> channelType;
    private final LongSupplier nanoTime;
    private final Map<String, WorkerConnectionPool> pools = new ConcurrentHashMap<>();
    private final Set<String> drainingWorkers = ConcurrentHashMap.newKeySet(); // applied to new pools
    private final Map<String, String> incarnations = new ConcurrentHashMap<>(); // by worker; sent with each request

    /** Runs the pools on {@code group}, which the caller continues to own. */
    public HttpWorkerTransport(
            GatewayConfig config, EventLoopGroup group, Class<? extends Channel> channel, LongSupplier nanoTime) {
        this.config = config;
        this.group = group;
        this.channelType = channel;
        this.nanoTime = nanoTime;
        long sweepIntervalNanos =
                Math.max(MIN_SWEEP_INTERVAL_NANOS, config.workers().idleNanos() / SWEEPS_PER_IDLE_TIMEOUT);
        group.next()
                .scheduleWithFixedDelay(
                        this::closeIdlePools, sweepIntervalNanos, sweepIntervalNanos, TimeUnit.NANOSECONDS);
    }

    private WorkerConnectionPool poolOf(String worker) {
        return pools.computeIfAbsent(
                worker,
                id -> new WorkerConnectionPool(
                        id, group.next(), channelType, config.workers(), drainingWorkers.contains(id)));
    }

    private void closeIdlePools() {
        pools.forEach((id, pool) -> pool.eventLoop().execute(() -> {
            pool.closeIdle(config.workers().idleNanos());
            if (pool.isUnused()) {
                pools.remove(id, pool);
            }
        }));
    }

    @Override
    public AttemptHandle sendAttempt(AttemptRequest request, AttemptListener listener) {
        ByteBuf body = request.body() == null ? null : request.body().retainedDuplicate();
        Exchange exchange = new Exchange(
                callHeaders(request),
                body,
                nanoTime,
                listener::onCompleted,
                request.streaming() ? listener::onStreamStarted : null,
                request.clientCancelled());
        exchange.setDeadline(request.deadlineAt());
        WorkerConnectionPool pool = start(request.worker(), exchange);
        return new AttemptHandle() {
            @Override
            public void cancel() {
                pool.eventLoop().execute(() -> pool.cancel(exchange));
            }

            @Override
            public void cancelIfUnsent() {
                pool.eventLoop().execute(() -> pool.cancelIfUnsent(exchange));
            }
        };
    }

    private Http2Headers callHeaders(AttemptRequest request) {
        Http2Headers headers = functionHeaders(
                        request.worker(),
                        "POST",
                        WorkerProtocol.CALL_PATH + request.function().name(),
                        request.function())
                .set(WorkerProtocol.CALL, request.callId())
                .setInt(WorkerProtocol.ATTEMPT, request.attempt())
                .set(WorkerProtocol.CLASS, request.requestClass());
        if (request.tenant() != null) {
            headers.set(WorkerProtocol.TENANT, request.tenant());
        }
        if (request.costUs() > 0) {
            headers.setLong(WorkerProtocol.COST_US, request.costUs());
        }
        if (request.contentType() != null) {
            headers.set("content-type", request.contentType());
        }
        return headers;
    }

    @Override
    public void probe(String worker, Consumer<ExchangeResult> onCompleted) {
        Http2Headers headers = requestHeaders(worker, "GET", WorkerProtocol.PROBE_PATH);
        startWithTimeout(
                worker,
                Exchange.control(headers, nanoTime, onCompleted),
                config.workers().probeTimeoutNanos());
    }

    @Override
    public void ensureLoaded(
            String worker,
            FunctionInfo function,
            int count,
            long waitNanos,
            WriteCondition condition,
            Consumer<ExchangeResult> onCompleted) {
        Http2Headers headers = functionHeaders(
                        worker,
                        "PUT",
                        WorkerProtocol.COPIES_PATH + function.name() + WorkerProtocol.COUNT_PARAMETER + count,
                        function)
                .setLong(WorkerProtocol.DEADLINE_MS, TimeUnit.NANOSECONDS.toMillis(waitNanos));
        startWithTimeout(worker, Exchange.control(headers, nanoTime, onCompleted), waitNanos);
    }

    @Override
    public void unload(String worker, String function) {
        Http2Headers headers = requestHeaders(worker, "DELETE", WorkerProtocol.COPIES_PATH + function);
        startWithTimeout(
                worker,
                Exchange.control(headers, nanoTime, result -> ReferenceCountUtil.release(result.body())),
                config.workers().probeTimeoutNanos());
    }

    @Override
    public void closeIdleConnections(String worker) {
        WorkerConnectionPool pool = pools.get(worker);
        if (pool != null) {
            pool.eventLoop().execute(() -> pool.closeIdle(0));
        }
    }

    @Override
    public void stopSending(String worker) {
        drainingWorkers.add(worker);
        incarnations.remove(worker);
        WorkerConnectionPool pool = pools.get(worker);
        if (pool != null) {
            pool.eventLoop().execute(pool::drain);
        }
    }

    @Override
    public void startSending(String worker, String incarnation) {
        drainingWorkers.remove(worker);
        incarnations.put(worker, incarnation);
        WorkerConnectionPool pool = pools.get(worker);
        if (pool != null) {
            pool.eventLoop().execute(pool::resume);
        }
    }

    @Override
    public void close() {
        pools.values().forEach(pool -> pool.eventLoop().execute(pool::closeAll));
    }

    private WorkerConnectionPool start(String worker, Exchange exchange) {
        WorkerConnectionPool pool = poolOf(worker);
        pool.eventLoop().execute(() -> pool.start(exchange));
        return pool;
    }

    private void startWithTimeout(String worker, Exchange exchange, long waitNanos) {
        WorkerConnectionPool pool = start(worker, exchange);
        EventLoop loop = pool.eventLoop();
        loop.execute(() -> {
            if (!exchange.isCompleted()) {
                exchange.setTimeout(loop.schedule(() -> timeOut(pool, exchange), waitNanos, TimeUnit.NANOSECONDS));
            }
        });
    }

    private static void timeOut(WorkerConnectionPool pool, Exchange exchange) {
        if (!exchange.isCompleted()) {
            exchange.complete(AttemptOutcomeMapping.TIMED_OUT);
            pool.cancel(exchange);
        }
    }

    private Http2Headers requestHeaders(String worker, String method, String path) {
        Http2Headers headers = new DefaultHttp2Headers(false)
                .method(method)
                .path(path)
                .scheme("http")
                .authority("worker")
                .set(WorkerProtocol.GATEWAY, config.name());
        String incarnation = incarnations.getOrDefault(worker, RosterEntry.NO_BOOT);
        return incarnation.equals(RosterEntry.NO_BOOT) ? headers : headers.set(WorkerProtocol.BOOT, incarnation);
    }

    private Http2Headers functionHeaders(String worker, String method, String path, FunctionInfo function) {
        Http2Headers headers = requestHeaders(worker, method, path);
        if (function.memoryMb() > 0) {
            headers.set(WorkerProtocol.MEMORY_MB, Double.toString(function.memoryMb()));
        }
        if (function.concurrencyPerCopy() > 0) {
            headers.setInt(WorkerProtocol.LANES, function.concurrencyPerCopy());
        }
        if (function.loadMillis() > 0) {
            headers.set(WorkerProtocol.LOAD_MS, Double.toString(function.loadMillis()));
        }
        return headers;
    }
}

package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.Http2Headers;
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

/** The workers' side over HTTP/2 without TLS; a pool of connections for each worker, each pool on one event loop. */
public final class HttpWorkers implements WorkerTransport {
    private static final long MS = 1_000_000L;

    private final GatewayConfig config;
    private final EventLoopGroup group;
    private final Class<? extends Channel> channel;
    private final LongSupplier nanoTime;
    private final Map<String, WorkerPool> pools = new ConcurrentHashMap<>();
    private final Set<String> left = ConcurrentHashMap.newKeySet(); // told to be leaving; a new pool must know
    private final Map<String, String> boots = new ConcurrentHashMap<>(); // the process that each request is meant for

    /** Uses {@code group}, which stays the caller's. */
    public HttpWorkers(
            GatewayConfig config, EventLoopGroup group, Class<? extends Channel> channel, LongSupplier nanoTime) {
        this.config = config;
        this.group = group;
        this.channel = channel;
        this.nanoTime = nanoTime;
        long pace = Math.max(MS, config.workers().idleNanos() / 4);
        group.next().scheduleWithFixedDelay(this::sweep, pace, pace, TimeUnit.NANOSECONDS);
    }

    private WorkerPool pool(String worker) {
        return pools.computeIfAbsent(
                worker, id -> new WorkerPool(id, group.next(), channel, config.workers(), left.contains(id)));
    }

    private void sweep() {
        pools.forEach((id, pool) -> pool.loop().execute(() -> {
            pool.closeIdle(config.workers().idleNanos());
            if (pool.unused()) {
                pools.remove(id, pool);
            }
        }));
    }

    @Override
    public AttemptHandle sendAttempt(AttemptRequest order, AttemptListener listener) {
        Http2Headers headers = function(
                        order.worker(),
                        "POST",
                        WorkerProtocol.CALL_PATH + order.function().name(),
                        order.function())
                .set(WorkerProtocol.CALL, order.callId())
                .setInt(WorkerProtocol.ATTEMPT, order.attempt())
                .set(WorkerProtocol.CLASS, order.requestClass());
        if (order.tenant() != null) {
            headers.set(WorkerProtocol.TENANT, order.tenant());
        }
        if (order.costUs() > 0) {
            headers.setLong(WorkerProtocol.COST_US, order.costUs());
        }
        if (order.contentType() != null) {
            headers.set("content-type", order.contentType());
        }
        ByteBuf body = order.body() == null ? null : order.body().retainedDuplicate();
        Exchange exchange = new Exchange(
                headers,
                body,
                nanoTime,
                listener::onCompleted,
                order.streaming() ? listener::onStreamStarted : null,
                order.clientCancelled());
        exchange.giveUpAt(order.deadlineAt());
        WorkerPool pool = start(order.worker(), exchange);
        return new AttemptHandle() {
            @Override
            public void cancel() {
                pool.loop().execute(() -> pool.cancel(exchange));
            }

            @Override
            public void cancelIfUnsent() {
                pool.loop().execute(() -> pool.withdraw(exchange));
            }
        };
    }

    @Override
    public void probe(String worker, Consumer<ExchangeResult> ended) {
        Http2Headers headers = head(worker, "GET", WorkerProtocol.PROBE_PATH);
        timed(
                worker,
                new Exchange(headers, null, nanoTime, ended, null, () -> false),
                config.workers().probeTimeoutNanos());
    }

    @Override
    public void ensureLoaded(
            String worker, FunctionInfo function, int count, long waitNanos, Consumer<ExchangeResult> ended) {
        Http2Headers headers = function(
                        worker,
                        "PUT",
                        WorkerProtocol.COPIES_PATH + function.name() + WorkerProtocol.COUNT_PARAMETER + count,
                        function)
                .setLong(WorkerProtocol.DEADLINE_MS, waitNanos / MS);
        timed(worker, new Exchange(headers, null, nanoTime, ended, null, () -> false), waitNanos);
    }

    @Override
    public void unload(String worker, String function) {
        Http2Headers headers = head(worker, "DELETE", WorkerProtocol.COPIES_PATH + function);
        timed(
                worker,
                new Exchange(
                        headers,
                        null,
                        nanoTime,
                        result -> io.netty.util.ReferenceCountUtil.release(result.body()),
                        null,
                        () -> false),
                config.workers().probeTimeoutNanos());
    }

    @Override
    public void closeIdleConnections(String worker) {
        WorkerPool pool = pools.get(worker);
        if (pool != null) {
            pool.loop().execute(() -> pool.closeIdle(0));
        }
    }

    @Override
    public void stopSending(String worker) {
        left.add(worker);
        boots.remove(worker);
        WorkerPool pool = pools.get(worker);
        if (pool != null) {
            pool.loop().execute(pool::leave);
        }
    }

    @Override
    public void startSending(String worker, String boot) {
        left.remove(worker);
        boots.put(worker, boot);
        WorkerPool pool = pools.get(worker);
        if (pool != null) {
            pool.loop().execute(pool::back);
        }
    }

    @Override
    public void close() {
        pools.values().forEach(pool -> pool.loop().execute(pool::closeAll));
    }

    private WorkerPool start(String worker, Exchange exchange) {
        WorkerPool pool = pool(worker);
        pool.loop().execute(() -> pool.start(exchange));
        return pool;
    }

    private void timed(String worker, Exchange exchange, long waitNanos) {
        WorkerPool pool = start(worker, exchange);
        EventLoop loop = pool.loop();
        loop.execute(() -> {
            if (!exchange.done()) {
                exchange.timeout = loop.schedule(
                        () -> {
                            if (!exchange.done()) {
                                exchange.end(Ending.TIMED_OUT);
                                pool.cancel(exchange);
                            }
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
            }
        });
    }

    private Http2Headers head(String worker, String method, String path) {
        Http2Headers headers = new DefaultHttp2Headers(false)
                .method(method)
                .path(path)
                .scheme("http")
                .authority("worker")
                .set(WorkerProtocol.GATEWAY, config.name());
        String boot = boots.getOrDefault(worker, RosterEntry.NO_BOOT);
        return boot.equals(RosterEntry.NO_BOOT) ? headers : headers.set(WorkerProtocol.BOOT, boot);
    }

    private Http2Headers function(String worker, String method, String path, FunctionInfo function) {
        Http2Headers headers = head(worker, method, path);
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

package wharfhinge.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Emulator of the package store. Fetches take longer when more are in flight than it serves at full speed, are rejected above a limit, and
 * are all rejected while it is unavailable.
 */
public final class PackageStoreEmulator implements AutoCloseable {
    private final int fullSpeedFetches;
    private final int maxFetches;
    private final Trace trace;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Channel listener;
    private volatile boolean unavailable;

    /**
     * Starts the store.
     *
     * @param fullSpeedFetches concurrent fetches that are served at full speed
     * @param maxFetches       concurrent fetches above which further ones are rejected
     */
    public PackageStoreEmulator(EventLoopGroup group, int port, int fullSpeedFetches, int maxFetches, Trace trace) {
        this.fullSpeedFetches = fullSpeedFetches;
        this.maxFetches = maxFetches;
        this.trace = trace;
        this.listener = LoopbackServers.listenHttp(group, port, FetchHandler::new);
    }

    /** The port that it listens on. */
    public int port() {
        return LoopbackServers.port(listener);
    }

    /** Makes the store unavailable, or available again. */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    private final class FetchHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            List<String> fetchMillis = query.parameters().get("ms");
            int currentFetches = inFlight.incrementAndGet();
            if (unavailable || currentFetches > maxFetches || fetchMillis == null) {
                inFlight.decrementAndGet();
                trace.note("fetch", "path", query.path(), "status", 503, "in_hand", currentFetches);
                ctx.writeAndFlush(LoopbackServers.response(503, new byte[0]));
                return;
            }
            double slowdown = Math.max(1, currentFetches / (double) fullSpeedFetches);
            trace.note("fetch", "path", query.path(), "status", 200, "in_hand", currentFetches);
            ctx.executor()
                    .schedule(
                            () -> {
                                inFlight.decrementAndGet();
                                ctx.writeAndFlush(LoopbackServers.response(200, new byte[0]));
                            },
                            (long) (Double.parseDouble(fetchMillis.get(0)) * slowdown * 1000),
                            TimeUnit.MICROSECONDS);
        }
    }
}

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

/** The store that workers fetch from: slows down when crowded, turns fetches away past a limit, and can be shut. */
public final class StoreStandIn implements AutoCloseable {
    private final int fullPace;
    private final int most;
    private final Trace trace;
    private final AtomicInteger inHand = new AtomicInteger();
    private final Channel listening;
    private volatile boolean shut;

    /** Serves {@code fullPace} fetches at a time at full pace and turns away beyond {@code most}. */
    public StoreStandIn(EventLoopGroup group, int port, int fullPace, int most, Trace trace) {
        this.fullPace = fullPace;
        this.most = most;
        this.trace = trace;
        this.listening = Net.listenHttp(group, port, Fetches::new);
    }

    /** Where it listens. */
    public int port() {
        return Net.port(listening);
    }

    /** Shuts or opens it. */
    public void shut(boolean now) {
        shut = now;
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    private final class Fetches extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            List<String> ms = query.parameters().get("ms");
            int now = inHand.incrementAndGet();
            if (shut || now > most || ms == null) {
                inHand.decrementAndGet();
                trace.note("fetch", "path", query.path(), "status", 503, "in_hand", now);
                ctx.writeAndFlush(Net.response(503, new byte[0]));
                return;
            }
            double crowd = Math.max(1, now / (double) fullPace);
            trace.note("fetch", "path", query.path(), "status", 200, "in_hand", now);
            ctx.executor()
                    .schedule(
                            () -> {
                                inHand.decrementAndGet();
                                ctx.writeAndFlush(Net.response(200, new byte[0]));
                            },
                            (long) (Double.parseDouble(ms.get(0)) * crowd * 1000),
                            TimeUnit.MICROSECONDS);
        }
    }
}

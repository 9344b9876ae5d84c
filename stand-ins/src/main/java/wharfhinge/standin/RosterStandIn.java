package wharfhinge.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterFrame;
import wharfhinge.protocol.RosterProtocol;

/** A roster that learns of changes late and pushes them; lives on one event loop. */
public final class RosterStandIn implements AutoCloseable {
    private static final int BEAT_MS = 500;

    private final EventLoop loop;
    private final Trace trace;
    private final Map<String, RosterEntry> entries = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new LinkedHashMap<>();
    private final Map<Channel, String> watchers = new LinkedHashMap<>();
    private volatile Channel listening;
    private final int port;
    private long revision = 1;
    private volatile long lagMillis;
    private volatile boolean mute;

    /** A roster that tells changes {@code lagMs} after they are reported to it. */
    public RosterStandIn(EventLoopGroup group, int port, long lagMillis, Trace trace) {
        this.loop = group.next();
        this.trace = trace;
        this.lagMillis = lagMillis;
        this.listening = Net.listenHttp(loop, port, Requests::new);
        this.port = Net.port(listening);
        loop.scheduleAtFixedRate(
                () -> push(new RosterFrame(RosterFrame.Kind.HEARTBEAT, 0, revision, List.of())),
                BEAT_MS,
                BEAT_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Where it listens. */
    public int port() {
        return port;
    }

    /** How late it is from now on. */
    public void lag(long ms) {
        lagMillis = ms;
    }

    /** While mute its streams stand but say nothing, not even that they live. */
    public void mute(boolean now) {
        mute = now;
    }

    /** Reports a worker's state; it is told after the lag. A start is told by a boot not known before. */
    public void report(RosterEntry entry) {
        long at = System.nanoTime();
        loop.schedule(
                () -> {
                    RosterEntry before = entries.get(entry.id());
                    if (before == null || !before.boot().equals(entry.boot())) {
                        startedAt.put(entry.id(), at - Math.max(0, entry.ageMillis()) * 1_000_000L);
                    }
                    long from = revision++;
                    if (entry.state() == RosterEntry.State.GONE) {
                        entries.remove(entry.id());
                    } else {
                        entries.put(entry.id(), entry);
                    }
                    push(new RosterFrame(RosterFrame.Kind.CHANGES, from, revision, List.of(aged(entry))));
                },
                lagMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Sends a frame as it is, to try what a gateway makes of it. */
    public void push(RosterFrame frame) {
        loop.execute(() -> {
            if (!mute) {
                watchers.forEach((channel, gateway) -> write(channel, gateway, frame));
            }
        });
    }

    /** Cuts all streams and refuses new ones, or takes them again; not for its own event loop's thread. */
    public void lost(boolean now) {
        if (!now) {
            listening = Net.listenHttp(loop, port, Requests::new);
            return;
        }
        loop.submit(() -> {
                    listening.close();
                    new ArrayList<>(watchers.keySet()).forEach(Channel::close);
                })
                .syncUninterruptibly();
    }

    private RosterEntry aged(RosterEntry e) {
        long age = e.ageMillis() == RosterEntry.UNKNOWN_AGE
                ? RosterEntry.UNKNOWN_AGE
                : (System.nanoTime() - startedAt.get(e.id())) / 1_000_000L;
        return new RosterEntry(e.id(), e.zone(), e.kind(), e.cell(), e.state(), e.weight(), age, e.boot());
    }

    private RosterFrame whole() {
        return new RosterFrame(
                RosterFrame.Kind.ALL,
                0,
                revision,
                entries.values().stream().map(this::aged).toList());
    }

    private void write(Channel channel, String gateway, RosterFrame frame) {
        boolean all = frame.kind() == RosterFrame.Kind.ALL;
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(frame.text(), StandardCharsets.UTF_8)));
        if (frame.kind() != RosterFrame.Kind.HEARTBEAT) {
            for (RosterEntry e : frame.entries()) {
                trace.note(
                        "told",
                        "gw",
                        gateway,
                        "worker",
                        e.id(),
                        "state",
                        e.state(),
                        "boot",
                        e.boot(),
                        "rev",
                        frame.revision());
            }
            trace.note(
                    "list",
                    "gw",
                    gateway,
                    "rev",
                    frame.revision(),
                    "whole",
                    all,
                    "workers",
                    String.join(
                            ",", frame.entries().stream().map(RosterEntry::id).toList()));
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
                    listening.close();
                    new ArrayList<>(watchers.keySet()).forEach(Channel::close);
                })
                .syncUninterruptibly();
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            String gateway = request.headers().get(RosterProtocol.GATEWAY, "-");
            if (query.path().equals(RosterProtocol.LIST_PATH)) {
                ctx.writeAndFlush(Net.response(200, whole().text().getBytes(StandardCharsets.UTF_8)))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.writeAndFlush(response);
            if (mute) {
                return;
            }
            watchers.put(ctx.channel(), gateway);
            List<String> from = query.parameters().get("from");
            if (from == null || !from.get(0).equals(Long.toString(revision))) {
                write(ctx.channel(), gateway, whole());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watchers.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

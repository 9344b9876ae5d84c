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

/** Emulator of the endpoint service that publishes changes after a delay and pushes them to its streams. Runs on one event loop. */
public final class EndpointServiceEmulator implements AutoCloseable {
    private static final int HEARTBEAT_INTERVAL_MS = 500;

    private final EventLoop loop;
    private final Trace trace;
    private final Map<String, RosterEntry> entries = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new LinkedHashMap<>();
    private final Map<Channel, String> subscribers = new LinkedHashMap<>();
    private volatile Channel listener;
    private final int port;
    private long revision = 1;
    private volatile long lagMillis;
    private volatile boolean silent;

    /** Starts an endpoint service that publishes changes {@code lagMillis} after they are reported to it. */
    public EndpointServiceEmulator(EventLoopGroup group, int port, long lagMillis, Trace trace) {
        this.loop = group.next();
        this.trace = trace;
        this.lagMillis = lagMillis;
        this.listener = LoopbackServers.listenHttp(loop, port, RequestHandler::new);
        this.port = LoopbackServers.port(listener);
        loop.scheduleAtFixedRate(
                () -> push(new RosterFrame(RosterFrame.Kind.HEARTBEAT, 0, revision, List.of())),
                HEARTBEAT_INTERVAL_MS,
                HEARTBEAT_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** The port that it listens on. */
    public int port() {
        return port;
    }

    /** Sets the delay of changes reported from now on. */
    public void setLagMillis(long millis) {
        lagMillis = millis;
    }

    /** While silent, its streams stay open but carry nothing, not even heartbeats. */
    public void silence(boolean isSilent) {
        silent = isSilent;
    }

    /** Reports a worker's state, which is published after the delay. A new boot id marks a new start. */
    public void report(RosterEntry entry) {
        long at = System.nanoTime();
        loop.schedule(
                () -> {
                    RosterEntry before = entries.get(entry.id());
                    if (before == null || !before.boot().equals(entry.boot())) {
                        startedAt.put(entry.id(), at - Math.max(0, entry.ageMillis()) * 1_000_000L);
                    }
                    long previousRevision = revision++;
                    if (entry.state() == RosterEntry.State.GONE) {
                        entries.remove(entry.id());
                    } else {
                        entries.put(entry.id(), entry);
                    }
                    push(new RosterFrame(
                            RosterFrame.Kind.CHANGES, previousRevision, revision, List.of(withCurrentAge(entry))));
                },
                lagMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Sends a frame unchanged to all streams, to test how a gateway handles it. */
    public void push(RosterFrame frame) {
        loop.execute(() -> {
            if (!silent) {
                subscribers.forEach((channel, gateway) -> write(channel, gateway, frame));
            }
        });
    }

    /** Closes all streams and stops listening, or listens again. Must not be called on its own event loop. */
    public void setUnreachable(boolean unreachable) {
        if (!unreachable) {
            listener = LoopbackServers.listenHttp(loop, port, RequestHandler::new);
            return;
        }
        loop.submit(() -> {
                    listener.close();
                    new ArrayList<>(subscribers.keySet()).forEach(Channel::close);
                })
                .syncUninterruptibly();
    }

    private RosterEntry withCurrentAge(RosterEntry entry) {
        long age = entry.ageMillis() == RosterEntry.UNKNOWN_AGE
                ? RosterEntry.UNKNOWN_AGE
                : (System.nanoTime() - startedAt.get(entry.id())) / 1_000_000L;
        return new RosterEntry(
                entry.id(), entry.zone(), entry.kind(), entry.cell(), entry.state(), entry.weight(), age, entry.boot());
    }

    private RosterFrame snapshot() {
        return new RosterFrame(
                RosterFrame.Kind.ALL,
                0,
                revision,
                entries.values().stream().map(this::withCurrentAge).toList());
    }

    private void write(Channel channel, String gateway, RosterFrame frame) {
        boolean isSnapshot = frame.kind() == RosterFrame.Kind.ALL;
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(frame.text(), StandardCharsets.UTF_8)));
        if (frame.kind() != RosterFrame.Kind.HEARTBEAT) {
            for (RosterEntry entry : frame.entries()) {
                trace.note(
                        "told",
                        "gw",
                        gateway,
                        "worker",
                        entry.id(),
                        "state",
                        entry.state(),
                        "boot",
                        entry.boot(),
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
                    isSnapshot,
                    "workers",
                    String.join(
                            ",", frame.entries().stream().map(RosterEntry::id).toList()));
        }
    }

    @Override
    public void close() {
        loop.submit(() -> {
                    listener.close();
                    new ArrayList<>(subscribers.keySet()).forEach(Channel::close);
                })
                .syncUninterruptibly();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            String gateway = request.headers().get(RosterProtocol.GATEWAY, "-");
            if (query.path().equals(RosterProtocol.LIST_PATH)) {
                ctx.writeAndFlush(
                                LoopbackServers.response(200, snapshot().text().getBytes(StandardCharsets.UTF_8)))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.writeAndFlush(response);
            if (silent) {
                return;
            }
            subscribers.put(ctx.channel(), gateway);
            List<String> requestedRevision = query.parameters().get("from");
            if (requestedRevision == null || !requestedRevision.get(0).equals(Long.toString(revision))) {
                write(ctx.channel(), gateway, snapshot());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            subscribers.remove(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

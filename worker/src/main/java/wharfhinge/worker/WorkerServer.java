package wharfhinge.worker;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.WorkerProtocol;

/**
 * A worker on its socket: speaks docs/protocol-worker.md. One event loop does the sockets and the decisions, so that an
 * answer is decided on the books as they are when it is written.
 */
public final class WorkerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerServer.class);
    private static final int MOST_STREAMS = 4096;
    private static final int MOST_HEADERS = 16_384;
    private static final Pattern FUNCTION = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Worker worker;
    private final WorkerSettings settings;
    private final EventLog events;
    private final Channel listening;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private final String boot;
    private final String id;

    /** Listens on loopback; {@code base} is what paths in the settings are relative to. */
    public WorkerServer(WorkerSettings settings, Path base) throws IOException {
        this.settings = settings;
        byte[] random = new byte[8];
        new SecureRandom().nextBytes(random);
        this.boot = HexFormat.of().formatHex(random);
        this.events =
                settings.eventsFile().isEmpty() ? EventLog.NONE : EventLog.to(base.resolve(settings.eventsFile()));
        this.worker = new Worker(settings, base, loop, events);
        this.listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                })
                .bind("127.0.0.1", settings.port())
                .syncUninterruptibly()
                .channel();
        this.id = "127.0.0.1:" + port();
        loop.submit(() -> worker.named(id)).syncUninterruptibly();
        if (events != EventLog.NONE) {
            ProcessorWaitWatch.start(loop, millis -> events.note("worker-not-run", "worker", id, "ms", millis));
        }
        events.note(
                "start",
                "worker",
                id,
                "boot",
                boot,
                "cold",
                true,
                "cores",
                Runtime.getRuntime().availableProcessors(),
                "speed",
                1,
                "zone",
                "-",
                "cell",
                0);
    }

    /** Where it listens. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    /** Names this process among those that had the address before. */
    public String boot() {
        return boot;
    }

    /**
     * Drains: takes nothing new, says GOAWAY, finishes what it holds, closes. Blocks no longer than set; any thread.
     *
     * @return whether all that was held had its answer
     */
    public boolean drain() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            events.note("draining", "worker", id);
            connections.forEach(c -> c.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR)));
            worker.drain(drained::countDown);
        });
        boolean all = drained.await(settings.drainMillis(), TimeUnit.MILLISECONDS);
        if (!all) {
            LOG.warn("drain ended with calls open");
        }
        close();
        return all;
    }

    /** Blocks until it is closed. */
    public void await() throws InterruptedException {
        over.await();
    }

    @Override
    public void close() {
        if (over.getCount() == 0) {
            return;
        }
        listening.close().syncUninterruptibly();
        loop.submit(() -> Set.copyOf(connections).forEach(c -> {
                    c.flush();
                    c.close();
                }))
                .syncUninterruptibly();
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
        try {
            worker.close();
        } catch (IOException e) {
            LOG.warn("closing: {}", e.getMessage());
        }
        over.countDown();
    }

    private void accepted(Channel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings()
                                        .maxConcurrentStreams(MOST_STREAMS)
                                        .maxHeaderListSize(MOST_HEADERS))
                                .decoderEnforceMaxRstFramesPerWindow(0, 0)
                                .build(), // gateways cancel by the thousand, and are trusted
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline()
                                        .addLast(
                                                new Http2StreamFrameToHttpObjectCodec(true),
                                                new HttpObjectAggregator(settings.mostBodyBytes()),
                                                new Requests());
                            }
                        }),
                        new Breaks());
    }

    /** A connection that breaks is closed; its streams tell the worker that nobody waits. */
    private static final class Breaks extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** One stream, one request. */
    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private long call;
        private long order;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String path = request.uri();
            WorkerCall head = WorkerCall.of(request.headers());
            boolean mine = head.boot() == null || head.boot().equals(boot);
            if (path.equals(WorkerProtocol.PROBE_PATH)) {
                events.note("probe", "worker", id, "gw", head.gateway());
                write(ctx, response(AnswerCode.SERVED, new byte[0]));
            } else if (path.equals(WorkerProtocol.MEMORY_PATH)) {
                write(ctx, books());
            } else if (path.startsWith(WorkerProtocol.CALL_PATH)
                    && request.method().equals(HttpMethod.POST)) {
                called(ctx, path.substring(WorkerProtocol.CALL_PATH.length()), head, mine, request);
            } else if (path.startsWith(WorkerProtocol.COPIES_PATH)) {
                copies(ctx, path.substring(WorkerProtocol.COPIES_PATH.length()), head, mine, request.method());
            } else {
                wrong(
                        ctx,
                        "found " + shown(path)
                                + ", allowed: POST /call/F, PUT or DELETE /copies/F, GET /probe, GET /memory");
            }
        }

        private void called(
                ChannelHandlerContext ctx, String function, WorkerCall head, boolean mine, FullHttpRequest request) {
            if (!FUNCTION.matcher(function).matches()) {
                wrong(ctx, "found function " + shown(function) + ", allowed: 1 to 128 letters, digits, '.', '_', '-'");
            } else if (!mine) {
                write(ctx, response(AnswerCode.FULL, new byte[0])); // meant for a process that is no more
            } else {
                boolean[] answered = {false};
                long number = worker.call(
                        function, head, ByteBufUtil.getBytes(request.content()), (code, note, company, body) -> {
                            answered[0] = true;
                            call = 0;
                            FullHttpResponse response = response(code, body);
                            if (note != CopyNote.NONE) {
                                response.headers().set(WorkerProtocol.NOTE, note.word());
                            }
                            response.headers().setInt(WorkerProtocol.CONCURRENT_CALLS, company);
                            write(ctx, response);
                        });
                call = answered[0] ? 0 : number;
            }
        }

        private void copies(ChannelHandlerContext ctx, String rest, WorkerCall head, boolean mine, HttpMethod method) {
            int at = rest.indexOf(WorkerProtocol.COUNT_PARAMETER);
            String function = at < 0 ? rest : rest.substring(0, at);
            String count = at < 0 ? "0" : rest.substring(at + WorkerProtocol.COUNT_PARAMETER.length());
            boolean counted = count.matches("[0-9]{1,2}") && Integer.parseInt(count) <= WorkerProtocol.MOST_COPIES;
            if (!FUNCTION.matcher(function).matches() || !counted) {
                wrong(
                        ctx,
                        "found " + shown(rest) + ", allowed: a function and a count of 0 to "
                                + WorkerProtocol.MOST_COPIES);
            } else if (method.equals(HttpMethod.DELETE)) {
                if (mine) {
                    worker.unload(function, head);
                }
                write(ctx, plain(HttpResponseStatus.NO_CONTENT, new byte[0]));
            } else if (!method.equals(HttpMethod.PUT)) {
                wrong(ctx, "found " + shown(method.name()) + ", allowed: PUT, DELETE");
            } else if (!mine) {
                ordered(ctx, AnswerCode.FULL, 0);
            } else {
                boolean[] answered = {false};
                long number = worker.hold(function, Integer.parseInt(count), head, (code, ready) -> {
                    answered[0] = true;
                    order = 0;
                    ordered(ctx, code, ready);
                });
                order = answered[0] ? 0 : number;
            }
        }

        private void ordered(ChannelHandlerContext ctx, AnswerCode code, int ready) {
            FullHttpResponse response = response(code, new byte[0]);
            response.headers().setInt(WorkerProtocol.COUNT, ready);
            write(ctx, response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (call != 0) {
                worker.cancel(call);
                call = 0;
            }
            if (order != 0) {
                worker.cancelOrder(order);
                order = 0;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void wrong(ChannelHandlerContext ctx, String why) {
            write(ctx, plain(HttpResponseStatus.BAD_REQUEST, why.getBytes(StandardCharsets.US_ASCII)));
        }

        private void write(ChannelHandlerContext ctx, FullHttpResponse response) {
            ctx.writeAndFlush(response);
        }
    }

    private static String shown(String text) {
        return "'" + (text.length() > 60 ? text.substring(0, 60) + "..." : text).replaceAll("[^\\x20-\\x7e]", "?")
                + "'";
    }

    private FullHttpResponse response(AnswerCode code, byte[] body) {
        FullHttpResponse response = plain(HttpResponseStatus.valueOf(code.status()), body);
        response.headers()
                .set(WorkerProtocol.OUTCOME, code.word())
                .set(WorkerProtocol.REPORT, worker.report())
                .set(WorkerProtocol.BOOT, boot);
        return response;
    }

    private FullHttpResponse books() {
        StringBuilder text = new StringBuilder();
        worker.books()
                .forEach((name, value) ->
                        text.append(name).append(' ').append(value).append('\n'));
        FullHttpResponse response = plain(HttpResponseStatus.OK, text.toString().getBytes(StandardCharsets.US_ASCII));
        response.headers().set(WorkerProtocol.BOOT, boot);
        return response;
    }

    private static FullHttpResponse plain(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return response;
    }
}

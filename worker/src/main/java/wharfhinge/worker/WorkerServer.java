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
 * Serves the worker protocol (docs/protocol-worker.md) over HTTP/2. One event loop handles both the sockets and the
 * scheduling, so that the memory accounting cannot change between the decision on an answer and the writing of it.
 */
public final class WorkerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerServer.class);
    private static final int MAX_CONCURRENT_STREAMS = 4096;
    private static final int MAX_HEADER_LIST_BYTES = 16_384;
    private static final Pattern FUNCTION_NAME = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Worker worker;
    private final WorkerSettings settings;
    private final EventLog events;
    private final Channel listenChannel;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final CountDownLatch closedLatch = new CountDownLatch(1);
    private final String incarnation;
    private final String address;

    /** Starts a server on the loopback interface; paths in the settings are relative to {@code baseFolder}. */
    public WorkerServer(WorkerSettings settings, Path baseFolder) throws IOException {
        this.settings = settings;
        byte[] random = new byte[8];
        new SecureRandom().nextBytes(random);
        this.incarnation = HexFormat.of().formatHex(random);
        this.events = settings.eventsFile().isEmpty()
                ? EventLog.NONE
                : EventLog.appendTo(baseFolder.resolve(settings.eventsFile()));
        this.worker = new Worker(settings, baseFolder, loop, events);
        this.listenChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initConnection(channel);
                    }
                })
                .bind("127.0.0.1", settings.port())
                .syncUninterruptibly()
                .channel();
        this.address = "127.0.0.1:" + port();
        loop.submit(() -> worker.setAddress(address)).syncUninterruptibly();
        if (events != EventLog.NONE) {
            ProcessorWaitWatch.start(loop, millis -> events.log("worker-not-run", "worker", address, "ms", millis));
        }
        events.log(
                "start",
                "worker",
                address,
                "boot",
                incarnation,
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

    /** The port that the worker listens on. */
    public int port() {
        return ((InetSocketAddress) listenChannel.localAddress()).getPort();
    }

    /** Random identifier that distinguishes this process from earlier ones at the same address. */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Shuts down gracefully: rejects new calls, sends GOAWAY, answers the calls in flight and closes. Waits for the
     * answers no longer than the drain timeout of the settings. May be called on any thread except the event loop, which it waits
     * for.
     *
     * @return whether all calls in flight were answered
     */
    public boolean drain() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(() -> {
            events.log("draining", "worker", address);
            connections.forEach(
                    connection -> connection.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR)));
            worker.drain(drained::countDown);
        });
        boolean allAnswered = drained.await(settings.drainTimeoutMillis(), TimeUnit.MILLISECONDS);
        if (!allAnswered) {
            LOG.warn("drain timed out with calls in flight");
        }
        close();
        return allAnswered;
    }

    /** Blocks until the server is closed. */
    public void await() throws InterruptedException {
        closedLatch.await();
    }

    @Override
    public void close() {
        if (closedLatch.getCount() == 0) {
            return;
        }
        listenChannel.close().syncUninterruptibly();
        loop.submit(() -> Set.copyOf(connections).forEach(connection -> {
                    connection.flush();
                    connection.close();
                }))
                .syncUninterruptibly();
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
        try {
            worker.close();
        } catch (IOException e) {
            LOG.warn("error while closing the worker: {}", e.getMessage());
        }
        closedLatch.countDown();
    }

    private void initConnection(Channel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings()
                                        .maxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                                        .maxHeaderListSize(MAX_HEADER_LIST_BYTES))
                                // no limit on RST_STREAM frames: gateways are trusted and may cancel thousands of calls
                                .decoderEnforceMaxRstFramesPerWindow(0, 0)
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline()
                                        .addLast(
                                                new Http2StreamFrameToHttpObjectCodec(true),
                                                new HttpObjectAggregator(settings.maxBodyBytes()),
                                                new RequestHandler());
                            }
                        }),
                        new ConnectionErrorHandler());
    }

    /** Closes a connection, and thus its streams, after an error. Each stream cancels its call or load order when it closes. */
    private static final class ConnectionErrorHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Handles the one request of a stream. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private long openCall; // number of the call that this stream waits for, or 0
        private long openOrder; // number of the load order that this stream waits for, or 0

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String path = request.uri();
            WorkerCall headers = WorkerCall.of(request.headers());
            boolean isForThisIncarnation =
                    headers.incarnation() == null || headers.incarnation().equals(incarnation);
            if (path.equals(WorkerProtocol.PROBE_PATH)) {
                events.log("probe", "worker", address, "gw", headers.gateway());
                write(context, answerResponse(AnswerCode.SERVED, new byte[0]));
            } else if (path.equals(WorkerProtocol.MEMORY_PATH)) {
                write(context, memoryStatus());
            } else if (path.startsWith(WorkerProtocol.CALL_PATH)
                    && request.method().equals(HttpMethod.POST)) {
                handleCall(
                        context,
                        path.substring(WorkerProtocol.CALL_PATH.length()),
                        headers,
                        isForThisIncarnation,
                        request);
            } else if (path.startsWith(WorkerProtocol.COPIES_PATH)) {
                handleCopies(
                        context,
                        path.substring(WorkerProtocol.COPIES_PATH.length()),
                        headers,
                        isForThisIncarnation,
                        request.method());
            } else {
                writeBadRequest(
                        context,
                        "found " + quoted(path)
                                + ", allowed: POST /call/F, PUT or DELETE /copies/F, GET /probe, GET /memory");
            }
        }

        private void handleCall(
                ChannelHandlerContext context,
                String function,
                WorkerCall headers,
                boolean isForThisIncarnation,
                FullHttpRequest request) {
            if (!FUNCTION_NAME.matcher(function).matches()) {
                writeBadRequest(
                        context,
                        "found function " + quoted(function) + ", allowed: 1 to 128 letters, digits, '.', '_', '-'");
            } else if (!isForThisIncarnation) {
                write(context, answerResponse(AnswerCode.FULL, new byte[0])); // meant for an earlier incarnation
            } else {
                boolean[] answered = {false}; // the call may be answered before its number is returned
                long callNumber = worker.call(
                        function,
                        headers,
                        ByteBufUtil.getBytes(request.content()),
                        (code, note, concurrentCalls, body) -> {
                            answered[0] = true;
                            openCall = 0;
                            FullHttpResponse response = answerResponse(code, body);
                            if (note != CopyNote.NONE) {
                                response.headers().set(WorkerProtocol.NOTE, note.word());
                            }
                            response.headers().setInt(WorkerProtocol.CONCURRENT_CALLS, concurrentCalls);
                            write(context, response);
                        });
                openCall = answered[0] ? 0 : callNumber;
            }
        }

        private void handleCopies(
                ChannelHandlerContext context,
                String functionAndCount,
                WorkerCall headers,
                boolean isForThisIncarnation,
                HttpMethod method) {
            int parameterIndex = functionAndCount.indexOf(WorkerProtocol.COUNT_PARAMETER);
            String function = parameterIndex < 0 ? functionAndCount : functionAndCount.substring(0, parameterIndex);
            String count = parameterIndex < 0
                    ? "0"
                    : functionAndCount.substring(parameterIndex + WorkerProtocol.COUNT_PARAMETER.length());
            boolean isValidCount = count.matches("[0-9]{1,2}") && Integer.parseInt(count) <= WorkerProtocol.MOST_COPIES;
            if (!FUNCTION_NAME.matcher(function).matches() || !isValidCount) {
                writeBadRequest(
                        context,
                        "found " + quoted(functionAndCount) + ", allowed: a function and a count of 0 to "
                                + WorkerProtocol.MOST_COPIES);
            } else if (method.equals(HttpMethod.DELETE)) {
                if (isForThisIncarnation) {
                    worker.unload(function, headers);
                }
                write(context, httpResponse(HttpResponseStatus.NO_CONTENT, new byte[0]));
            } else if (!method.equals(HttpMethod.PUT)) {
                writeBadRequest(context, "found " + quoted(method.name()) + ", allowed: PUT, DELETE");
            } else if (!isForThisIncarnation) {
                writeOrderAnswer(context, AnswerCode.FULL, 0);
            } else {
                boolean[] answered = {false}; // the order may be answered before its number is returned
                long orderNumber =
                        worker.orderCopies(function, Integer.parseInt(count), headers, (code, readyCopies) -> {
                            answered[0] = true;
                            openOrder = 0;
                            writeOrderAnswer(context, code, readyCopies);
                        });
                openOrder = answered[0] ? 0 : orderNumber;
            }
        }

        private void writeOrderAnswer(ChannelHandlerContext context, AnswerCode code, int readyCopies) {
            FullHttpResponse response = answerResponse(code, new byte[0]);
            response.headers().setInt(WorkerProtocol.COUNT, readyCopies);
            write(context, response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (openCall != 0) {
                worker.cancel(openCall);
                openCall = 0;
            }
            if (openOrder != 0) {
                worker.cancelOrder(openOrder);
                openOrder = 0;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void writeBadRequest(ChannelHandlerContext context, String reason) {
            write(context, httpResponse(HttpResponseStatus.BAD_REQUEST, reason.getBytes(StandardCharsets.US_ASCII)));
        }

        private void write(ChannelHandlerContext context, FullHttpResponse response) {
            context.writeAndFlush(response);
        }
    }

    private static String quoted(String text) {
        return "'" + (text.length() > 60 ? text.substring(0, 60) + "..." : text).replaceAll("[^\\x20-\\x7e]", "?")
                + "'";
    }

    private FullHttpResponse answerResponse(AnswerCode code, byte[] body) {
        FullHttpResponse response = httpResponse(HttpResponseStatus.valueOf(code.status()), body);
        response.headers()
                .set(WorkerProtocol.OUTCOME, code.word())
                .set(WorkerProtocol.REPORT, worker.report())
                .set(WorkerProtocol.BOOT, incarnation);
        return response;
    }

    private FullHttpResponse memoryStatus() {
        StringBuilder text = new StringBuilder();
        worker.memoryStatus()
                .forEach((name, value) ->
                        text.append(name).append(' ').append(value).append('\n'));
        FullHttpResponse response =
                httpResponse(HttpResponseStatus.OK, text.toString().getBytes(StandardCharsets.US_ASCII));
        response.headers().set(WorkerProtocol.BOOT, incarnation);
        return response;
    }

    private static FullHttpResponse httpResponse(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return response;
    }
}

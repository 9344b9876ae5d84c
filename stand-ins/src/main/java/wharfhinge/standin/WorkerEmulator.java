package wharfhinge.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.LoadReport;
import wharfhinge.protocol.WorkerProtocol;

/**
 * Emulator of a worker: serves docs/protocol-worker.md on a socket and simulates the work by a {@link WorkerModel}. Runs on one event loop.
 */
public final class WorkerEmulator implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 22;

    private final EventLoop loop;
    private final Trace trace;
    private final WorkerModel model;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final int port;
    private Channel listener;

    /** Starts a worker on a port of loopback; port 0 selects a free port. */
    public WorkerEmulator(EventLoopGroup group, int port, WorkerModel.Spec spec, HttpCaller store, Trace trace) {
        this.loop = group.next();
        this.trace = trace;
        this.listener = LoopbackServers.listen(loop, loop, port, this::onAccepted);
        this.port = LoopbackServers.port(listener);
        this.model = new WorkerModel(loop, id(), spec, store, trace, this::stopProcess);
        model.start();
    }

    /** {@code address:port}. */
    public String id() {
        return "127.0.0.1:" + port;
    }

    /** The simulated state and faults; its public methods are thread-safe. */
    public WorkerModel model() {
        return model;
    }

    /** Simulates the death of the process: connections close without responses and nothing listens. */
    public void kill() {
        loop.submit(this::stopProcess).syncUninterruptibly();
    }

    /** Starts a new incarnation at the same address, with no copies loaded and cold. */
    public void restart() {
        if (listener == null) {
            Channel newListener = LoopbackServers.listen(loop, loop, port, this::onAccepted);
            loop.submit(() -> {
                        listener = newListener;
                        model.restart();
                    })
                    .syncUninterruptibly();
        }
    }

    /** Sends GOAWAY on all connections; open streams are completed. */
    public void goAway() {
        loop.execute(() -> connections.forEach(
                connection -> connection.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR))));
    }

    private void stopProcess() {
        if (listener != null) {
            listener.close();
            listener = null;
        }
        model.stop();
        Set.copyOf(connections).forEach(Channel::close);
    }

    @Override
    public void close() {
        kill();
    }

    private void onAccepted(Channel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        long delayMillis = model.handshakeMillis();
        if (delayMillis == 0) {
            addHandlers(channel);
        } else {
            channel.config().setAutoRead(false);
            loop.schedule(
                    () -> {
                        addHandlers(channel);
                        channel.config().setAutoRead(true);
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void addHandlers(Channel channel) {
        channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings().maxConcurrentStreams(1000))
                                .decoderEnforceMaxRstFramesPerWindow(0, 0)
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline()
                                        .addLast(
                                                new Http2StreamFrameToHttpObjectCodec(true),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new RequestHandler());
                            }
                        }),
                        new CloseOnError());
    }

    /** Closes a connection on any error, without logging. */
    private static final class CloseOnError extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private WorkerModel.Call openCall;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String path = request.uri();
            String gateway = request.headers().get(WorkerProtocol.GATEWAY, "-");
            String boot = request.headers().get(WorkerProtocol.BOOT);
            if (boot != null && !boot.equals(model.boot()) && !path.startsWith(WorkerProtocol.PROBE_PATH)) {
                rejectFenced(ctx, path); // addressed to an earlier incarnation
                return;
            }
            if (path.startsWith(WorkerProtocol.CALL_PATH)) {
                openCall = WorkerModel.Call.of(
                        path.substring(WorkerProtocol.CALL_PATH.length()), request, gateway, new WorkerModel.Reply() {
                            @Override
                            public void answer(AnswerCode code, CopyNote note, int concurrentCalls, byte[] body) {
                                FullHttpResponse response = LoopbackServers.response(code.status(), body);
                                response.headers().set(WorkerProtocol.OUTCOME, code.word());
                                if (note != CopyNote.NONE) {
                                    response.headers().set(WorkerProtocol.NOTE, note.word());
                                }
                                response.headers().setInt(WorkerProtocol.CONCURRENT_CALLS, concurrentCalls);
                                addLoadReport(response);
                                openCall = null;
                                ctx.writeAndFlush(response);
                            }

                            @Override
                            public void reset() {
                                openCall = null;
                                ctx.close();
                            }
                        });
                model.call(openCall);
            } else if (path.startsWith(WorkerProtocol.COPIES_PATH)) {
                handleCopies(ctx, request, path.substring(WorkerProtocol.COPIES_PATH.length()), gateway);
            } else {
                trace.note("probe", "worker", id(), "gw", gateway);
                model.runUnlessPaused(() -> {
                    if (!model.isHanging()) {
                        FullHttpResponse response = LoopbackServers.response(200, new byte[0]);
                        response.headers().set(WorkerProtocol.OUTCOME, AnswerCode.SERVED.word());
                        addLoadReport(response);
                        ctx.writeAndFlush(response);
                    }
                });
            }
        }

        private void rejectFenced(ChannelHandlerContext ctx, String path) {
            trace.note("fenced", "worker", id(), "path", path);
            FullHttpResponse response = LoopbackServers.response(AnswerCode.FULL.status(), new byte[0]);
            response.headers()
                    .set(WorkerProtocol.OUTCOME, AnswerCode.FULL.word())
                    .setInt(WorkerProtocol.COUNT, 0);
            addLoadReport(response);
            ctx.writeAndFlush(response);
        }

        private void handleCopies(
                ChannelHandlerContext ctx, FullHttpRequest request, String functionAndQuery, String gateway) {
            if (request.method().equals(HttpMethod.DELETE)) {
                trace.note("unload", "worker", id(), "fn", functionAndQuery, "gw", gateway);
                model.runUnlessPaused(() -> {
                    model.unload(functionAndQuery);
                    ctx.writeAndFlush(LoopbackServers.response(204, new byte[0]));
                });
                return;
            }
            int queryStart = functionAndQuery.indexOf(WorkerProtocol.COUNT_PARAMETER);
            String function = queryStart < 0 ? functionAndQuery : functionAndQuery.substring(0, queryStart);
            int count = queryStart < 0
                    ? 0
                    : Integer.parseInt(
                            functionAndQuery.substring(queryStart + WorkerProtocol.COUNT_PARAMETER.length()));
            trace.note("hold", "worker", id(), "fn", function, "count", count, "gw", gateway);
            WorkerModel.Call functionSpec = WorkerModel.Call.of(function, request, gateway, null);
            model.orderLoad(functionSpec, count, (code, loadedCopies) -> {
                FullHttpResponse response = LoopbackServers.response(code.status(), new byte[0]);
                response.headers().set(WorkerProtocol.OUTCOME, code.word()).setInt(WorkerProtocol.COUNT, loadedCopies);
                addLoadReport(response);
                ctx.writeAndFlush(response);
            });
        }

        private void addLoadReport(FullHttpResponse response) {
            response.headers()
                    .set(WorkerProtocol.REPORT, LoadReport.format(model.report()))
                    .set(WorkerProtocol.BOOT, model.boot());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (openCall != null) {
                model.cancel(openCall);
                openCall = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

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

/** A scripted worker on a socket: speaks docs/protocol-worker.md and plays a {@link WorkerModel}. One event loop each. */
public final class WorkerStandIn implements AutoCloseable {
    private static final int MOST_BODY = 1 << 22;

    private final EventLoop loop;
    private final Trace trace;
    private final WorkerModel model;
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final int port;
    private Channel listening;

    /** A worker that listens on a port of loopback, 0 for any. */
    public WorkerStandIn(EventLoopGroup group, int port, WorkerModel.Spec spec, HttpCaller store, Trace trace) {
        this.loop = group.next();
        this.trace = trace;
        this.listening = Net.listen(loop, loop, port, this::accepted);
        this.port = Net.port(listening);
        this.model = new WorkerModel(loop, id(), spec, store, trace, this::down);
        model.started();
    }

    /** {@code address:port}. */
    public String id() {
        return "127.0.0.1:" + port;
    }

    /** What it plays; its methods may be called from any thread. */
    public WorkerModel model() {
        return model;
    }

    /** Its process dies at once: connections are lost, nothing is answered, nothing listens. */
    public void kill() {
        loop.submit(this::down).syncUninterruptibly();
    }

    /** A new process under the same address: empty and cold. */
    public void restart() {
        if (listening == null) {
            Channel again = Net.listen(loop, loop, port, this::accepted);
            loop.submit(() -> {
                        listening = again;
                        model.reborn();
                    })
                    .syncUninterruptibly();
        }
    }

    /** Tells all connections to go away; what is open is finished. */
    public void goAway() {
        loop.execute(() -> connections.forEach(c -> c.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR))));
    }

    private void down() {
        if (listening != null) {
            listening.close();
            listening = null;
        }
        model.died();
        Set.copyOf(connections).forEach(Channel::close);
    }

    @Override
    public void close() {
        kill();
    }

    private void accepted(Channel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        long slow = model.handshakeMillis();
        if (slow == 0) {
            pipeline(channel);
        } else {
            channel.config().setAutoRead(false);
            loop.schedule(
                    () -> {
                        pipeline(channel);
                        channel.config().setAutoRead(true);
                    },
                    slow,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void pipeline(Channel channel) {
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
                                                new HttpObjectAggregator(MOST_BODY),
                                                new Requests());
                            }
                        }),
                        new Closer());
    }

    /** A connection that breaks is closed and no more said of it. */
    private static final class Closer extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        private WorkerModel.Call open;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String path = request.uri();
            String gateway = request.headers().get(WorkerProtocol.GATEWAY, "-");
            String boot = request.headers().get(WorkerProtocol.BOOT);
            if (boot != null && !boot.equals(model.boot()) && !path.startsWith(WorkerProtocol.PROBE_PATH)) {
                fenced(ctx, path); // meant for a process that is no more
                return;
            }
            if (path.startsWith(WorkerProtocol.CALL_PATH)) {
                open = WorkerModel.Call.of(
                        path.substring(WorkerProtocol.CALL_PATH.length()), request, gateway, new WorkerModel.Reply() {
                            @Override
                            public void answer(AnswerCode code, CopyNote note, int company, byte[] body) {
                                FullHttpResponse response = Net.response(code.status(), body);
                                response.headers().set(WorkerProtocol.OUTCOME, code.word());
                                if (note != CopyNote.NONE) {
                                    response.headers().set(WorkerProtocol.NOTE, note.word());
                                }
                                response.headers().setInt(WorkerProtocol.CONCURRENT_CALLS, company);
                                reported(response);
                                open = null;
                                ctx.writeAndFlush(response);
                            }

                            @Override
                            public void reset() {
                                open = null;
                                ctx.close();
                            }
                        });
                model.call(open);
            } else if (path.startsWith(WorkerProtocol.COPIES_PATH)) {
                copies(ctx, request, path.substring(WorkerProtocol.COPIES_PATH.length()), gateway);
            } else {
                trace.note("probe", "worker", id(), "gw", gateway);
                model.inbound(() -> {
                    if (!model.hangs()) {
                        FullHttpResponse response = Net.response(200, new byte[0]);
                        response.headers().set(WorkerProtocol.OUTCOME, AnswerCode.SERVED.word());
                        reported(response);
                        ctx.writeAndFlush(response);
                    }
                });
            }
        }

        private void fenced(ChannelHandlerContext ctx, String path) {
            trace.note("fenced", "worker", id(), "path", path);
            FullHttpResponse response = Net.response(AnswerCode.FULL.status(), new byte[0]);
            response.headers()
                    .set(WorkerProtocol.OUTCOME, AnswerCode.FULL.word())
                    .setInt(WorkerProtocol.COUNT, 0);
            reported(response);
            ctx.writeAndFlush(response);
        }

        private void copies(ChannelHandlerContext ctx, FullHttpRequest request, String rest, String gateway) {
            if (request.method().equals(HttpMethod.DELETE)) {
                trace.note("unload", "worker", id(), "fn", rest, "gw", gateway);
                model.inbound(() -> {
                    model.unload(rest);
                    ctx.writeAndFlush(Net.response(204, new byte[0]));
                });
                return;
            }
            int at = rest.indexOf(WorkerProtocol.COUNT_PARAMETER);
            String function = at < 0 ? rest : rest.substring(0, at);
            int count = at < 0 ? 0 : Integer.parseInt(rest.substring(at + WorkerProtocol.COUNT_PARAMETER.length()));
            trace.note("hold", "worker", id(), "fn", function, "count", count, "gw", gateway);
            WorkerModel.Call figures = WorkerModel.Call.of(function, request, gateway, null);
            model.hold(figures, count, (code, stand) -> {
                FullHttpResponse response = Net.response(code.status(), new byte[0]);
                response.headers().set(WorkerProtocol.OUTCOME, code.word()).setInt(WorkerProtocol.COUNT, stand);
                reported(response);
                ctx.writeAndFlush(response);
            });
        }

        private void reported(FullHttpResponse response) {
            response.headers()
                    .set(WorkerProtocol.REPORT, LoadReport.format(model.report()))
                    .set(WorkerProtocol.BOOT, model.boot());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (open != null) {
                model.cancelled(open);
                open = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

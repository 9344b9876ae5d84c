package wharfhinge.standin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.WorkerProtocol;

/** Minimal-cost peers for measurements; calls of the function {@code silent} get no response. */
public final class EchoServers {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private EchoServers() {}

    /** Starts an HTTP/1.1 server that echoes the body of each call; returns its port. */
    public static int plain(EventLoopGroup group) {
        return LoopbackServers.port(LoopbackServers.listenHttp(group, 0, EchoHandler::new));
    }

    /** Starts a worker that responds at once with the body of the call; returns its port. */
    public static int worker(EventLoopGroup group) {
        return LoopbackServers.port(LoopbackServers.listen(group, group, 0, channel -> channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings())
                                .build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline()
                                        .addLast(
                                                new Http2StreamFrameToHttpObjectCodec(true),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new EchoHandler());
                            }
                        }))));
    }

    /** Starts an HTTP/1.1 proxy that forwards each call to one of the ports, chosen at random; returns its own port. */
    public static int passThrough(EventLoopGroup group, int[] ports) {
        HttpCaller[] callers = new HttpCaller[ports.length];
        for (int i = 0; i < ports.length; i++) {
            callers[i] = new HttpCaller(group, ports[i]);
        }
        return LoopbackServers.port(
                LoopbackServers.listenHttp(group, 0, () -> new SimpleChannelInboundHandler<FullHttpRequest>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
                        callers[ThreadLocalRandom.current().nextInt(ports.length)].call(
                                request.method(),
                                request.uri(),
                                Map.of(),
                                ByteBufUtil.getBytes(request.content()),
                                new HttpCaller.ResponseHandler() {
                                    @Override
                                    public void answered(int status, HttpHeaders headers, byte[] body) {
                                        ctx.writeAndFlush(LoopbackServers.response(status, body));
                                    }

                                    @Override
                                    public void broken(boolean wasSent) {
                                        ctx.close();
                                    }
                                });
                    }
                }));
    }

    private static final class EchoHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.uri().endsWith("/silent")) {
                return;
            }
            FullHttpResponse response = LoopbackServers.response(200, ByteBufUtil.getBytes(request.content()));
            response.headers()
                    .set(WorkerProtocol.OUTCOME, AnswerCode.SERVED.word())
                    .set(WorkerProtocol.NOTE, CopyNote.FOUND.word())
                    .set(WorkerProtocol.REPORT, "rif:1,x0:0.1");
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package wharfhinge.worker;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One HTTP/2 connection to a worker, as a gateway's. */
final class TestGateway implements AutoCloseable {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel channel;
    final CountDownLatch goAway = new CountDownLatch(1);

    /** What came back. */
    record Answer(int status, String outcome, String note, String count, String report, String boot, String body) { }

    /** A request under way. */
    static final class Open {
        final CompletableFuture<Answer> answer = new CompletableFuture<>();
        private Http2StreamChannel stream;

        Answer get() throws Exception {
            return answer.get(20, TimeUnit.SECONDS);
        }

        void reset() {
            stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        }
    }

    TestGateway(int port) {
        channel = new Bootstrap().group(group).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel c) {
                c.pipeline().addLast(Http2FrameCodecBuilder.forClient().encoderEnforceMaxConcurrentStreams(false).build(),
                    new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()), new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext ctx, Object message) {
                            if (message instanceof Http2GoAwayFrame) {
                                goAway.countDown();
                            }
                            io.netty.util.ReferenceCountUtil.release(message);
                        }
                    });
            }
        }).connect("127.0.0.1", port).syncUninterruptibly().channel();
    }

    Open call(String function, String input, String... headers) {
        return send(HttpMethod.POST, "/call/" + function, input, headers);
    }

    Open hold(String function, int count, String... headers) {
        return send(HttpMethod.PUT, "/copies/" + function + "?count=" + count, "", headers);
    }

    Map<String, Long> books() throws Exception {
        Map<String, Long> books = new LinkedHashMap<>();
        send(HttpMethod.GET, "/memory", "").get().body.lines().map(l -> l.split(" "))
            .forEach(f -> books.put(f[0], Long.parseLong(f[1])));
        return books;
    }

    Open send(HttpMethod method, String path, String body, String... headers) {
        Open open = new Open();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set("x-http2-scheme", "http");
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().set(headers[i], headers[i + 1]);
        }
        new Http2StreamChannelBootstrap(channel).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel stream) {
                stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(false), new HttpObjectAggregator(1 << 20),
                    new SimpleChannelInboundHandler<FullHttpResponse>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
                            open.answer.complete(new Answer(r.status().code(), r.headers().get("wh-outcome"),
                                r.headers().get("wh-note"), r.headers().get("wh-count"), r.headers().get("wh-report"),
                                r.headers().get("wh-boot"), new String(ByteBufUtil.getBytes(r.content()),
                                StandardCharsets.UTF_8)));
                        }

                        @Override
                        public void channelInactive(ChannelHandlerContext ctx) {
                            open.answer.completeExceptionally(new IllegalStateException("stream closed"));
                        }
                    });
            }
        }).open().addListener(opened -> {
            if (opened.isSuccess()) {
                open.stream = (Http2StreamChannel) opened.getNow();
                open.stream.writeAndFlush(request);
            } else {
                open.answer.completeExceptionally(opened.cause());
            }
        });
        return open;
    }

    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}

package wharfhinge.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.util.concurrent.CompletableFuture;

/** One HTTP/2 connection with prior knowledge, as a gateway keeps to a worker; any thread may call. */
public final class H2Caller implements AutoCloseable {
    private static final int MOST_ANSWER = 1 << 20;
    private final Channel channel;

    /** An answer. */
    public record Answer(int status, String outcome, byte[] body) { }

    /** Connects to a port on loopback; throws where nobody listens. */
    public H2Caller(EventLoopGroup group, int port) {
        channel = new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000).handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel c) {
                    c.pipeline().addLast(Http2FrameCodecBuilder.forClient().encoderEnforceMaxConcurrentStreams(false).build(),
                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()), new ChannelInboundHandlerAdapter() {
                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close(); // the worker died; its streams tell it
                            }
                        });
                }
            }).connect("127.0.0.1", port).syncUninterruptibly().channel();
    }

    /** Sends a request; the future fails where no answer will come. Headers are names and values in turn. */
    public CompletableFuture<Answer> send(HttpMethod method, String path, byte[] body, String... headers) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set("x-http2-scheme", "http");
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().set(headers[i], headers[i + 1]);
        }
        new Http2StreamChannelBootstrap(channel).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel stream) {
                stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(false), new HttpObjectAggregator(MOST_ANSWER),
                    new SimpleChannelInboundHandler<FullHttpResponse>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
                            answer.complete(new Answer(r.status().code(), r.headers().get("wh-outcome", "-"),
                                ByteBufUtil.getBytes(r.content())));
                        }

                        @Override
                        public void channelInactive(ChannelHandlerContext ctx) {
                            answer.completeExceptionally(new IllegalStateException("no answer"));
                        }
                    });
            }
        }).open().addListener(opened -> {
            if (opened.isSuccess()) {
                ((Http2StreamChannel) opened.getNow()).writeAndFlush(request);
            } else {
                answer.completeExceptionally(opened.cause());
            }
        });
        return answer;
    }

    @Override
    public void close() {
        channel.close();
    }
}

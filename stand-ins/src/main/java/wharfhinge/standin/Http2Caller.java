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
import io.netty.handler.codec.http.HttpHeaders;
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
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.CompletableFuture;
import wharfhinge.protocol.WorkerProtocol;

/** One HTTP/2 connection with prior knowledge, such as a gateway keeps to a worker. Thread-safe. */
public final class Http2Caller implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private final Channel channel;
    private final CompletableFuture<Void> goAway = new CompletableFuture<>();

    /** The response to a request. */
    public record Answer(int status, HttpHeaders headers, byte[] body) {
        /** The outcome header of the worker, or {@code -} if it is absent. */
        public String outcome() {
            return headers.get(WorkerProtocol.OUTCOME, "-");
        }
    }

    /** A request in progress. */
    public static final class Exchange {
        private final CompletableFuture<Answer> answer = new CompletableFuture<>();
        private volatile Http2StreamChannel stream;

        /** The response; completes exceptionally if none will come. */
        public CompletableFuture<Answer> answer() {
            return answer;
        }

        /** Resets the stream, which must be open by now. */
        public void reset() {
            stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        }
    }

    /** Connects to a port on loopback; throws if nothing listens there. */
    public Http2Caller(EventLoopGroup group, int port) {
        channel = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connection
                                .pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forClient()
                                                .encoderEnforceMaxConcurrentStreams(false)
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                        new ChannelInboundHandlerAdapter() {
                                            @Override
                                            public void channelRead(ChannelHandlerContext ctx, Object message) {
                                                if (message instanceof Http2GoAwayFrame) {
                                                    goAway.complete(null);
                                                }
                                                ReferenceCountUtil.release(message);
                                            }

                                            @Override
                                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                                ctx.close(); // the worker died: each stream reports the loss
                                            }
                                        });
                    }
                })
                .connect("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    /** Completes when the worker sends GOAWAY on this connection. */
    public CompletableFuture<Void> goAway() {
        return goAway;
    }

    /** Sends a request without waiting; the future completes exceptionally if no response will come. */
    public CompletableFuture<Answer> send(HttpMethod method, String path, byte[] body, String... headers) {
        return open(method, path, body, headers).answer;
    }

    /** Sends a request. {@code headers} alternates names and values. */
    public Exchange open(HttpMethod method, String path, byte[] body, String... headers) {
        Exchange exchange = new Exchange();
        CompletableFuture<Answer> answer = exchange.answer;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        request.headers().set("x-http2-scheme", "http");
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().set(headers[i], headers[i + 1]);
        }
        new Http2StreamChannelBootstrap(channel)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline()
                                .addLast(
                                        new Http2StreamFrameToHttpObjectCodec(false),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new SimpleChannelInboundHandler<FullHttpResponse>() {
                                            @Override
                                            protected void channelRead0(
                                                    ChannelHandlerContext ctx, FullHttpResponse response) {
                                                answer.complete(new Answer(
                                                        response.status().code(),
                                                        response.headers().copy(),
                                                        ByteBufUtil.getBytes(response.content())));
                                            }

                                            @Override
                                            public void channelInactive(ChannelHandlerContext ctx) {
                                                answer.completeExceptionally(new IllegalStateException("no answer"));
                                            }
                                        });
                    }
                })
                .open()
                .addListener(opened -> {
                    if (opened.isSuccess()) {
                        exchange.stream = (Http2StreamChannel) opened.getNow();
                        exchange.stream.writeAndFlush(request);
                    } else {
                        answer.completeExceptionally(opened.cause());
                    }
                });
        return exchange;
    }

    @Override
    public void close() {
        channel.close();
    }
}

package wharfhinge.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;

/** An HTTP/1.1 client of one port that reuses connections, one call at a time on each. Thread-safe. */
public final class HttpCaller {
    private static final int MAX_RESPONSE_BYTES = 1 << 24;

    /** Receives the progress of a call on an I/O thread. */
    public interface ResponseHandler {
        /** The request was written to the socket. */
        default void sent() {}

        /** The whole response was received. */
        void answered(int status, HttpHeaders headers, byte[] body);

        /**
         * No response will come: the connection failed or was closed.
         *
         * @param wasSent whether a connection existed, so that the request may have been sent
         */
        void broken(boolean wasSent);
    }

    private final Bootstrap bootstrap;
    private final ConcurrentLinkedDeque<Channel> idle = new ConcurrentLinkedDeque<>();

    /** A client of a port on loopback. */
    public HttpCaller(EventLoopGroup group, int port) {
        bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .remoteAddress("127.0.0.1", port)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new Connection());
                    }
                });
    }

    /** A call in progress. */
    public final class Call {
        private final FullHttpRequest request;
        private final ResponseHandler responseHandler;
        private volatile Channel channel;
        private volatile boolean finished;

        private Call(FullHttpRequest request, ResponseHandler responseHandler) {
            this.request = request;
            this.responseHandler = responseHandler;
        }

        /** Closes the connection; the handler receives nothing further. */
        public void abandon() {
            finished = true;
            Channel current = channel;
            if (current != null) {
                current.close();
            }
        }
    }

    /** Sends a request; {@code body} may be empty. */
    public Call call(
            HttpMethod method,
            String path,
            Map<? extends CharSequence, String> headers,
            byte[] body,
            ResponseHandler responseHandler) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, "loopback").setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Call call = new Call(request, responseHandler);
        Channel reused = idle.pollFirst();
        while (reused != null && !reused.isActive()) {
            reused = idle.pollFirst();
        }
        if (reused != null) {
            send(reused, call);
        } else {
            bootstrap.connect().addListener((ChannelFuture connected) -> {
                if (connected.isSuccess()) {
                    send(connected.channel(), call);
                } else if (!call.finished) {
                    call.finished = true;
                    responseHandler.broken(false);
                }
            });
        }
        return call;
    }

    private static void send(Channel channel, Call call) {
        channel.eventLoop().execute(() -> {
            call.channel = channel;
            if (call.finished) {
                channel.close();
                return;
            }
            channel.pipeline().get(Connection.class).currentCall = call;
            channel.writeAndFlush(call.request).addListener(written -> {
                if (written.isSuccess()) {
                    call.responseHandler.sent();
                }
            });
        });
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Call currentCall;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = currentCall;
            currentCall = null;
            if (call == null || call.finished) {
                ctx.close();
                return;
            }
            call.finished = true;
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(ctx.channel());
            } else {
                ctx.close();
            }
            call.responseHandler.answered(
                    response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (currentCall != null && !currentCall.finished) {
                currentCall.finished = true;
                currentCall.responseHandler.broken(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

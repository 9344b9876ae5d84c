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

/** A plain HTTP/1.1 client on kept connections, one call at a time on each; any thread may call. */
public final class HttpCaller {
    private static final int MOST_ANSWER = 1 << 24;

    /** Told how a call goes, on an I/O thread. */
    public interface Reply {
        /** The request is on the wire. */
        default void sent() {}

        /** The whole answer came. */
        void answered(int status, HttpHeaders headers, byte[] body);

        /** No answer will come. */
        void broken(boolean wasSent);
    }

    private final Bootstrap bootstrap;
    private final ConcurrentLinkedDeque<Channel> idle = new ConcurrentLinkedDeque<>();

    /** A client of one port on loopback. */
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
                                        new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER), new Connection());
                    }
                });
    }

    /** A call under way. */
    public final class Call {
        private final FullHttpRequest request;
        private final Reply reply;
        private volatile Channel channel;
        private volatile boolean over;

        private Call(FullHttpRequest request, Reply reply) {
            this.request = request;
            this.reply = reply;
        }

        /** Gives up: the connection is closed, and nothing more is told. */
        public void abandon() {
            over = true;
            Channel c = channel;
            if (c != null) {
                c.close();
            }
        }
    }

    /** Calls; {@code body} may be empty. */
    public Call call(
            HttpMethod method, String path, Map<? extends CharSequence, String> headers, byte[] body, Reply reply) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, "loopback").setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Call call = new Call(request, reply);
        Channel kept = idle.pollFirst();
        while (kept != null && !kept.isActive()) {
            kept = idle.pollFirst();
        }
        if (kept != null) {
            begin(kept, call);
        } else {
            bootstrap.connect().addListener((ChannelFuture done) -> {
                if (done.isSuccess()) {
                    begin(done.channel(), call);
                } else if (!call.over) {
                    call.over = true;
                    reply.broken(false);
                }
            });
        }
        return call;
    }

    private static void begin(Channel channel, Call call) {
        channel.eventLoop().execute(() -> {
            call.channel = channel;
            if (call.over) {
                channel.close();
                return;
            }
            channel.pipeline().get(Connection.class).open = call;
            channel.writeAndFlush(call.request).addListener(written -> {
                if (written.isSuccess()) {
                    call.reply.sent();
                }
            });
        });
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Call open;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call call = open;
            open = null;
            if (call == null || call.over) {
                ctx.close();
                return;
            }
            call.over = true;
            if (HttpUtil.isKeepAlive(response)) {
                idle.addFirst(ctx.channel());
            } else {
                ctx.close();
            }
            call.reply.answered(response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (open != null && !open.over) {
                open.over = true;
                open.reply.broken(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

package wharfhinge.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Server sockets and HTTP helpers of the emulators; loopback only. */
public final class LoopbackServers {
    private static final String LOOPBACK = "127.0.0.1";

    private LoopbackServers() {}

    /** Creates a group of I/O threads. */
    public static EventLoopGroup group(int threads) {
        return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Listens on loopback; port 0 selects a free port. */
    static Channel listen(EventLoopGroup acceptorGroup, EventLoopGroup group, int port, Consumer<Channel> onAccepted) {
        return new ServerBootstrap()
                .group(acceptorGroup, group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        onAccepted.accept(channel);
                    }
                })
                .bind(LOOPBACK, port)
                .syncUninterruptibly()
                .channel();
    }

    /** Listens for HTTP/1.1; the handler receives aggregated requests. */
    static Channel listenHttp(EventLoopGroup group, int port, Supplier<ChannelHandler> handler) {
        return listen(group, group, port, channel -> channel.pipeline()
                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 20), handler.get()));
    }

    static int port(Channel listener) {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    static FullHttpResponse response(int status, byte[] body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }
}

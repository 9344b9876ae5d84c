package wharfhinge.gateway.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import wharfhinge.config.GatewayConfig;

/** The clients' side: HTTP/1.1 and HTTP/2 on one port, in the clear or over TLS. */
public final class Front {
    private static final int FIRST_LINE = 4096;
    private static final int STREAMS = 1000;
    private static final long TAKE_OVER_NS = TimeUnit.SECONDS.toNanos(5);

    private final GatewayConfig config;
    private final Intake intake;
    private final StatusPage status;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder turnedAway = new LongAdder();
    private final SslContext tls; // null without
    private Channel listening;

    /** {@code tls} is null where calls come in the clear. */
    public Front(GatewayConfig config, Intake intake, StatusPage status, SslContext tls) {
        this.config = config;
        this.intake = intake;
        this.status = status;
        this.tls = tls;
    }

    /** Begins to listen; the address tells the port where any was asked for. */
    public InetSocketAddress listen(EventLoopGroup acceptor, EventLoopGroup group, Class<? extends ServerChannel> type)
            throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptor, group)
                .channel(type)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                });
        if (config.clients().reusePort() && EpollServerSocketChannel.class.isAssignableFrom(type)) {
            bootstrap.option(EpollChannelOption.SO_REUSEPORT, true); // beside the process that this one takes over from
        }
        listening = Binding.within(
                config.clients().reusePort() ? config.clients().stopWithinNanos() + TAKE_OVER_NS : 0,
                () -> bootstrap.bind(
                        config.clients().address(), config.clients().port()));
        return (InetSocketAddress) listening.localAddress();
    }

    /** Connections that stand. */
    public int connections() {
        return connections.get();
    }

    /** Connections closed at once since there were too many. */
    public long turnedAway() {
        return turnedAway.sum();
    }

    private void accepted(Channel channel) {
        int now = connections.incrementAndGet();
        channel.closeFuture().addListener(closed -> connections.decrementAndGet());
        if (now > config.clients().maxConnections()) {
            turnedAway.increment();
            channel.close();
            return;
        }
        channels.add(channel);
        if (tls != null) {
            channel.pipeline().addLast(tls.newHandler(channel.alloc()), new Handshakes());
        }
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, config.clients().idleNanos(), TimeUnit.NANOSECONDS),
                        new ProtocolDetector(this::http1, this::http2));
    }

    private void http1(ChannelHandlerContext ctx) {
        ctx.pipeline()
                .addLast(
                        new HttpServerCodec(new HttpDecoderConfig()
                                .setMaxInitialLineLength(FIRST_LINE)
                                .setMaxHeaderSize(config.clients().maxHeaderBytes())),
                        new HttpServerKeepAliveHandler(),
                        new BodyKeeper(config.clients().maxBodyBytes()),
                        new CallHandler(intake, status, false));
    }

    private void http2(ChannelHandlerContext ctx) {
        ChannelPipeline pipeline = ctx.pipeline();
        pipeline.addLast(
                Http2FrameCodecBuilder.forServer()
                        .initialSettings(Http2Settings.defaultSettings()
                                .maxConcurrentStreams(STREAMS)
                                .maxHeaderListSize(config.clients().maxHeaderBytes()))
                        .build(),
                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline()
                                .addLast(
                                        new Http2StreamFrameToHttpObjectCodec(true),
                                        new BodyKeeper(config.clients().maxBodyBytes()),
                                        new CallHandler(intake, status, true));
                    }
                }),
                new IdleCloser());
    }

    /** Takes no new connection, tells HTTP/2 clients to go elsewhere, and ends HTTP/1.1 ones after their answers. */
    public void finish() {
        if (listening != null) {
            listening.close().awaitUninterruptibly(1000);
        }
        for (Channel channel : channels) {
            channel.eventLoop().execute(() -> {
                if (channel.pipeline().get(Http2MultiplexHandler.class) != null) {
                    channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
                } else {
                    channel.pipeline().fireUserEventTriggered(CallHandler.Finish.NOW);
                }
            });
        }
    }

    /** Closes what is left. */
    public void close() {
        channels.close().awaitUninterruptibly(1000);
    }
}

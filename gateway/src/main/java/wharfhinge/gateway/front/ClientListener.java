package wharfhinge.gateway.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
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

/**
 * Accepts client connections: HTTP/1.1 and HTTP/2 on one port, with or without TLS. Connections are distributed over the I/O event loops.
 * The public methods are thread-safe and may block.
 */
public final class ClientListener {
    /** Connections that wait to be accepted, at most. */
    public static final int MAX_BACKLOG = 1024;

    private static final int READS_PER_POLL = 16;
    private static final int MAX_REQUEST_LINE_BYTES = 4096;
    private static final int MAX_CONCURRENT_STREAMS = 1000;
    private static final int MAX_READS_BEFORE_CLOSE = 16;
    private static final long CLOSE_TIMEOUT_MILLIS = 1000;
    private static final long BIND_TIMEOUT_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final GatewayConfig config;
    private final CallIngress ingress;
    private final StatusPage statusPage;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger connections = new AtomicInteger();
    private final LongAdder rejectedConnections = new LongAdder();
    private final SslContext sslContext; // null without TLS
    private Channel serverChannel;

    /** Creates a listener. {@code sslContext} is null without TLS. */
    public ClientListener(GatewayConfig config, CallIngress ingress, StatusPage statusPage, SslContext sslContext) {
        this.config = config;
        this.ingress = ingress;
        this.statusPage = statusPage;
        this.sslContext = sslContext;
    }

    /** Binds the configured port and returns the bound address, which has the actual port if the configured one is 0. */
    public InetSocketAddress listen(EventLoopGroup acceptor, EventLoopGroup group, Class<? extends ServerChannel> type)
            throws InterruptedException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptor, group)
                .channel(type)
                .option(ChannelOption.SO_BACKLOG, MAX_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initConnection(channel);
                    }
                });
        if (config.clients().reusePort()) {
            bootstrap.option(PortSharing.option(type), true);
        }
        serverChannel = PortBinding.bindWithin(
                config.clients().reusePort() ? config.clients().shutdownTimeoutNanos() + BIND_TIMEOUT_MARGIN_NANOS : 0,
                () -> bootstrap.bind(
                        config.clients().address(), config.clients().port()));
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Reads on after a short read: the end of the stream, which shows that the client has left, may follow. */
    private static RecvByteBufAllocator readUntilEmpty() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_POLL);
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.get();
    }

    /** Returns the number of connections closed on accept because the connection limit was reached. */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }

    private void initConnection(Channel channel) {
        int openConnections = connections.incrementAndGet();
        channel.closeFuture().addListener(closed -> connections.decrementAndGet());
        if (openConnections > config.clients().maxConnections()) {
            rejectedConnections.increment();
            channel.close();
            return;
        }
        channels.add(channel);
        if (sslContext != null) {
            channel.pipeline().addLast(sslContext.newHandler(channel.alloc()), new TlsHandshakeHandler());
        }
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, config.clients().idleNanos(), TimeUnit.NANOSECONDS),
                        new ProtocolDetector(this::initHttp1, this::initHttp2));
    }

    private void initHttp1(ChannelHandlerContext ctx) {
        ctx.pipeline()
                .addLast(
                        new HttpServerCodec(new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                                .setMaxHeaderSize(config.clients().maxHeaderBytes())),
                        new HttpServerKeepAliveHandler(),
                        new RequestBodyBuffer(config.clients().maxBodyBytes()),
                        new HttpCallHandler(ingress, statusPage, false));
    }

    private void initHttp2(ChannelHandlerContext ctx) {
        ChannelPipeline pipeline = ctx.pipeline();
        pipeline.addLast(
                Http2FrameCodecBuilder.forServer()
                        .initialSettings(Http2Settings.defaultSettings()
                                .maxConcurrentStreams(MAX_CONCURRENT_STREAMS)
                                .maxHeaderListSize(config.clients().maxHeaderBytes()))
                        .build(),
                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline()
                                .addLast(
                                        new Http2StreamFrameToHttpObjectCodec(true),
                                        new RequestBodyBuffer(config.clients().maxBodyBytes()),
                                        new HttpCallHandler(ingress, statusPage, true));
                    }
                }),
                new IdleConnectionHandler());
    }

    /** Stops accepting connections, sends GOAWAY on HTTP/2, and closes HTTP/1.1 connections after their responses. */
    public void startDraining() {
        if (serverChannel != null) {
            serverChannel.close().awaitUninterruptibly(1000);
        }
        for (Channel channel : channels) {
            channel.eventLoop().execute(() -> {
                if (channel.pipeline().get(Http2MultiplexHandler.class) != null) {
                    channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR));
                } else {
                    channel.pipeline().fireUserEventTriggered(HttpCallHandler.ConnectionDrain.START);
                }
            });
        }
    }

    /** Answers what was received on the remaining connections, and closes them; the engine rejects calls by now. */
    public void close() {
        for (Channel channel : channels) {
            channel.eventLoop().execute(() -> closeOnceAnswered(channel, MAX_READS_BEFORE_CLOSE));
        }
        if (!channels.newCloseFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS)) {
            channels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
        }
    }

    private static void closeOnceAnswered(Channel channel, int maxReads) {
        if (channel.pipeline().get(HttpCallHandler.class) != null) {
            channel.pipeline().fireUserEventTriggered(HttpCallHandler.ConnectionDrain.START);
        } else if (maxReads > 0 && PendingInput.read(channel)) {
            // the protocol may be known now; by the next task rejections have been written
            channel.eventLoop().execute(() -> closeOnceAnswered(channel, maxReads - 1));
        } else {
            channel.close();
        }
    }
}

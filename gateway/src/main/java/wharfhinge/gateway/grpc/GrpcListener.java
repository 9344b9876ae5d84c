package wharfhinge.gateway.grpc;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import wharfhinge.config.GatewayConfig;
import wharfhinge.gateway.front.CallIngress;

/** Listens for gRPC: calls, the standard health service, and reflection where it is enabled. */
public final class GrpcListener {
    private static final int MAX_CALLS_PER_CONNECTION = 1000;
    private static final int MESSAGE_OVERHEAD_BYTES = 4096; // of a message besides its body

    private final Server server;
    private final HealthStatusManager health = new HealthStatusManager();

    /** Built, not bound; {@code sslContext} is null where calls come in the clear, and the groups stay the caller's. */
    public GrpcListener(
            GatewayConfig config,
            CallIngress intake,
            SslContext sslContext,
            EventLoopGroup acceptor,
            EventLoopGroup group,
            Class<? extends ServerChannel> type) {
        GatewayConfig.Grpc own = config.grpc();
        NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(own.address(), own.port()))
                .directExecutor()
                .bossEventLoopGroup(acceptor)
                .workerEventLoopGroup(group)
                .channelType(type)
                .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                .maxInboundMessageSize(config.clients().maxBodyBytes() + MESSAGE_OVERHEAD_BYTES)
                .maxInboundMetadataSize(config.clients().maxHeaderBytes())
                .maxConnectionIdle(config.clients().idleNanos(), TimeUnit.NANOSECONDS)
                .addService(new GatewayService(intake))
                .addService(health.getHealthService());
        builder.intercept(new CredentialsInterceptor());
        if (config.clients().reusePort() && EpollServerSocketChannel.class.isAssignableFrom(type)) {
            builder.withOption(EpollChannelOption.SO_REUSEPORT, true);
        }
        if (sslContext != null) {
            builder.sslContext(sslContext);
        }
        if (own.reflection()) {
            builder.addService(ProtoReflectionServiceV1.newInstance());
        }
        server = builder.build();
    }

    /** Binds the port of the settings. */
    public InetSocketAddress listen() throws IOException {
        server.start();
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Accepts no new call: health turns to NOT_SERVING, clients get a GOAWAY; calls in flight are answered. */
    public void startDraining() {
        health.enterTerminalState();
        server.shutdown();
    }

    /** Aborts what is left. */
    public void close() throws InterruptedException {
        if (!server.awaitTermination(100, TimeUnit.MILLISECONDS)) {
            server.shutdownNow();
            server.awaitTermination(500, TimeUnit.MILLISECONDS);
        }
    }
}

package wharfhinge.gateway.grpc;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.protobuf.services.HealthStatusManager;
import io.grpc.protobuf.services.ProtoReflectionServiceV1;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import wharfhinge.config.GatewayConfig;
import wharfhinge.gateway.front.CallIngress;
import wharfhinge.gateway.front.PortSharing;

/** The gRPC server: the gateway service, the standard health service, and, if enabled, server reflection. */
public final class GrpcListener {
    private static final int MAX_CALLS_PER_CONNECTION = 1000;
    private static final int MESSAGE_OVERHEAD_BYTES = 4096; // the fields of a message other than its body

    private final Server server;
    private final HealthStatusManager health = new HealthStatusManager();

    /** Builds the server without binding it; {@code sslContext} is null without TLS, and the caller continues to own the groups. */
    public GrpcListener(
            GatewayConfig config,
            CallIngress ingress,
            SslContext sslContext,
            EventLoopGroup acceptor,
            EventLoopGroup group,
            Class<? extends ServerChannel> type) {
        GatewayConfig.Grpc settings = config.grpc();
        NettyServerBuilder builder = NettyServerBuilder.forAddress(
                        new InetSocketAddress(settings.address(), settings.port()))
                .directExecutor()
                .bossEventLoopGroup(acceptor)
                .workerEventLoopGroup(group)
                .channelType(type)
                .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                .maxInboundMessageSize(config.clients().maxBodyBytes() + MESSAGE_OVERHEAD_BYTES)
                .maxInboundMetadataSize(config.clients().maxHeaderBytes())
                .maxConnectionIdle(config.clients().idleNanos(), TimeUnit.NANOSECONDS)
                .addService(new GatewayService(ingress))
                .addService(health.getHealthService());
        builder.intercept(new CredentialsInterceptor());
        if (config.clients().reusePort()) {
            builder.withOption(PortSharing.option(type), true);
        }
        if (sslContext != null) {
            builder.sslContext(sslContext);
        }
        if (settings.reflection()) {
            builder.addService(ProtoReflectionServiceV1.newInstance());
        }
        server = builder.build();
    }

    /** Binds the configured address and starts to accept calls. */
    public InetSocketAddress listen() throws IOException {
        server.start();
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Stops accepting calls: the health status becomes NOT_SERVING and clients receive GOAWAY; calls in flight continue. */
    public void startDraining() {
        health.enterTerminalState();
        server.shutdown();
    }

    /** Waits briefly for calls in flight to end, then aborts the remaining ones. */
    public void close() throws InterruptedException {
        if (!server.awaitTermination(100, TimeUnit.MILLISECONDS)) {
            server.shutdownNow();
            server.awaitTermination(500, TimeUnit.MILLISECONDS);
        }
    }
}

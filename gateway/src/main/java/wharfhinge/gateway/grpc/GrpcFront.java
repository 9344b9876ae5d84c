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

/** The gRPC port: calls, the standard health service, reflection where it is switched on. */
public final class GrpcFront {
    private static final int CALLS_EACH = 1000;
    private static final int OVERHEAD = 4096; // of a message beside its body

    private final Server server;
    private final HealthStatusManager health = new HealthStatusManager();

    /** {@code tls} is null where calls come in the clear. */
    public GrpcFront(
            GatewayConfig config,
            CallIngress intake,
            SslContext tls,
            EventLoopGroup acceptor,
            EventLoopGroup group,
            Class<? extends ServerChannel> type) {
        GatewayConfig.Grpc own = config.grpc();
        NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(own.address(), own.port()))
                .directExecutor()
                .bossEventLoopGroup(acceptor)
                .workerEventLoopGroup(group)
                .channelType(type)
                .maxConcurrentCallsPerConnection(CALLS_EACH)
                .maxInboundMessageSize(config.clients().maxBodyBytes() + OVERHEAD)
                .maxInboundMetadataSize(config.clients().maxHeaderBytes())
                .maxConnectionIdle(config.clients().idleNanos(), TimeUnit.NANOSECONDS)
                .addService(new GatewayService(intake))
                .addService(health.getHealthService());
        builder.intercept(new Callers());
        if (config.clients().reusePort() && EpollServerSocketChannel.class.isAssignableFrom(type)) {
            builder.withOption(EpollChannelOption.SO_REUSEPORT, true);
        }
        if (tls != null) {
            builder.sslContext(tls);
        }
        if (own.reflection()) {
            builder.addService(ProtoReflectionServiceV1.newInstance());
        }
        server = builder.build();
    }

    /** Begins to listen. */
    public InetSocketAddress listen() throws IOException {
        server.start();
        return (InetSocketAddress) server.getListenSockets().get(0);
    }

    /** Takes no new call and says so: health turns, clients get a GOAWAY; what is open is answered. */
    public void finish() {
        health.enterTerminalState();
        server.shutdown();
    }

    /** Ends what is left. */
    public void close() throws InterruptedException {
        if (!server.awaitTermination(100, TimeUnit.MILLISECONDS)) {
            server.shutdownNow();
            server.awaitTermination(500, TimeUnit.MILLISECONDS);
        }
    }
}

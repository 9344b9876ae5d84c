package wharfhinge.client.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import wharfhinge.client.Call;
import wharfhinge.client.Transport;

/**
 * Sends attempts over HTTP/2 (prior knowledge, or TLS with ALPN), with many streams per connection, and further connections to a
 * gateway when none has a free stream. A connection counts as established only once the gateway's SETTINGS frame is received. So no
 * attempt is sent to a gateway that accepts connections but does not respond, and its calls can be retried elsewhere. Thread-safe.
 */
public final class HttpTransport implements Transport {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ConcurrentHashMap<String, GatewayConnections> connectionsByGateway = new ConcurrentHashMap<>();
    private final Duration connectTimeout;
    private final int connectionsPerGateway;
    private final int maxResponseBytes;
    private final SslContext tls;
    private final Supplier<String> token;

    /**
     * Creates a transport.
     *
     * @param connectTimeout        time limit for the gateway's SETTINGS frame; after it waiting attempts end as not sent
     * @param connectionsPerGateway maximum number of connections to one gateway
     * @param tls                   the TLS context, or null without TLS
     * @param token                 supplies the bearer token (or null) for each attempt; null if no tokens are used
     */
    public HttpTransport(
            Duration connectTimeout,
            int connectionsPerGateway,
            int maxResponseBytes,
            SslContext tls,
            Supplier<String> token) {
        this.token = token == null ? () -> null : token;
        this.connectTimeout = connectTimeout;
        this.connectionsPerGateway = connectionsPerGateway;
        this.maxResponseBytes = maxResponseBytes;
        this.tls = tls;
    }

    /**
     * Creates a TLS context that trusts gateways whose certificate is signed by one of these authorities (PEM).
     *
     * @throws IOException if the file can't be read
     */
    public static SslContext tls(Path authorities) throws IOException {
        return SslContextBuilder.forClient()
                .trustManager(authorities.toFile())
                .applicationProtocolConfig(new ApplicationProtocolConfig(
                        ApplicationProtocolConfig.Protocol.ALPN,
                                ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                        ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                                ApplicationProtocolNames.HTTP_2))
                .build();
    }

    @Override
    public AttemptHandle send(String gateway, Call call, long remainingNanos, boolean repeat, Listener listener) {
        Exchange exchange =
                new Exchange(gateway, call, remainingNanos, repeat, maxResponseBytes, token.get(), listener);
        connectionsByGateway
                .computeIfAbsent(gateway, address -> new GatewayConnections(address, this))
                .send(exchange);
        return exchange;
    }

    int connectionsPerGateway() {
        return connectionsPerGateway;
    }

    Duration connectTimeout() {
        return connectTimeout;
    }

    /** Prepares a connection; the initializer runs before the TLS handshake is complete. */
    Bootstrap bootstrap(String host, int port, ChannelInitializer<Channel> initializer) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
                .remoteAddress(host, port)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (tls != null) {
                            channel.pipeline().addLast(tls.newHandler(channel.alloc(), host, port));
                        }
                        channel.pipeline().addLast(initializer);
                    }
                });
    }

    @Override
    public void close() {
        connectionsByGateway.values().forEach(GatewayConnections::close);
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }
}

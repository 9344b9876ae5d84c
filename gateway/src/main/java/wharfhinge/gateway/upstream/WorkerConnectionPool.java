package wharfhinge.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Settings;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import wharfhinge.config.GatewayConfig;

/**
 * The connections to one worker, confined to one event loop, so that no locks are needed. The queue of exchanges waiting for a
 * connection is bounded by the calls in flight, and no exchange waits longer than the connect timeout.
 */
final class WorkerConnectionPool {
    private static final int STREAM_WINDOW_BYTES = 1 << 18;
    private static final int MAX_HEADER_LIST_BYTES = 16_384;

    private final EventLoop eventLoop;
    private final GatewayConfig.Workers settings;
    private final Bootstrap bootstrap;
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private final List<WorkerConnection> connections = new ArrayList<>();
    private int connecting; // connections that are not established yet
    private boolean draining;

    WorkerConnectionPool(
            String endpoint,
            EventLoop eventLoop,
            Class<? extends Channel> channelType,
            GatewayConfig.Workers settings,
            boolean draining) {
        this.draining = draining;
        this.eventLoop = eventLoop;
        this.settings = settings;
        int colon = endpoint.lastIndexOf(':');
        this.bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(channelType)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        TimeUnit.NANOSECONDS.toMillis(settings.connectTimeoutNanos()))
                .remoteAddress(new InetSocketAddress(
                        endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1))));
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    /** Sends an exchange now, or queues it until a connection is established. */
    void start(Exchange exchange) {
        if (exchange.isCompleted()) {
            return;
        }
        if (draining) {
            exchange.complete(AttemptOutcomeMapping.CONNECT_FAILED);
            return;
        }
        if (exchange.isClientCancelled()) {
            exchange.complete(AttemptOutcomeMapping.CANCELLED_UNSENT);
            return;
        }
        waiting.add(exchange);
        sendWaiting();
    }

    /** Ends an exchange without a result, whether it was sent or not. */
    void cancel(Exchange exchange) {
        if (exchange.isSent()) {
            exchange.connection().cancel(exchange);
        } else {
            waiting.remove(exchange);
            exchange.discard();
        }
    }

    /** Completes an exchange as cancelled unless it was sent. */
    void cancelIfUnsent(Exchange exchange) {
        if (!exchange.isSent() && !exchange.isCompleted()) {
            waiting.remove(exchange);
            exchange.complete(AttemptOutcomeMapping.CANCELLED_UNSENT);
        }
    }

    private void sendWaiting() {
        while (!waiting.isEmpty()) {
            Optional<WorkerConnection> connection = leastLoaded();
            if (connection.isEmpty()) {
                break;
            }
            send(waiting.poll(), connection.get());
        }
        while (waiting.size() > connecting * settings.streamsPerConnection()
                && connections.size() < settings.maxConnections()) {
            connect();
        }
        if (connecting == 0) {
            failWaiting(); // all connections allowed are established and saturated
        }
    }

    private Optional<WorkerConnection> leastLoaded() {
        WorkerConnection leastLoaded = null;
        for (WorkerConnection connection : connections) {
            if (connection.hasCapacity()
                    && (leastLoaded == null || connection.activeStreams() < leastLoaded.activeStreams())) {
                leastLoaded = connection;
            }
        }
        return Optional.ofNullable(leastLoaded);
    }

    private static void send(Exchange exchange, WorkerConnection connection) {
        if (exchange.isClientCancelled()) {
            exchange.complete(AttemptOutcomeMapping.CANCELLED_UNSENT);
        } else if (!exchange.writeRemainingDeadline()) {
            exchange.complete(AttemptOutcomeMapping.DEADLINE_EXCEEDED_UNSENT);
        } else {
            connection.open(exchange);
        }
    }

    private void connect() {
        connecting++;
        Http2FrameCodec codec = newCodec();
        WorkerConnection connection =
                new WorkerConnection(this, settings.streamsPerConnection(), settings.maxResponseBytes());
        connections.add(connection);
        Bootstrap connect = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(codec, connection);
            }
        });
        connect.connect().addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                // if no socket could be created (EMFILE, ENFILE, ENOBUFS), this listener runs on another thread
                eventLoop.execute(() -> removeFailed(connection));
            }
        });
        eventLoop.schedule(
                () -> {
                    if (!connection.isEstablished() && connections.contains(connection)) {
                        connection.close();
                    }
                },
                settings.connectTimeoutNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void removeFailed(WorkerConnection connection) {
        if (connections.remove(connection)) {
            onConnectFailed();
        }
    }

    private static Http2FrameCodec newCodec() {
        return Http2FrameCodecBuilder.forClient()
                .initialSettings(Http2Settings.defaultSettings()
                        .pushEnabled(false)
                        .initialWindowSize(STREAM_WINDOW_BYTES)
                        .maxHeaderListSize(MAX_HEADER_LIST_BYTES))
                .encoderEnforceMaxConcurrentStreams(false)
                .build();
    }

    private void onConnectFailed() {
        connecting--;
        if (connecting == 0 && connections.stream().noneMatch(WorkerConnection::hasCapacity)) {
            failWaiting();
        } else {
            sendWaiting();
        }
    }

    private void failWaiting() {
        for (Exchange exchange = waiting.poll(); exchange != null; exchange = waiting.poll()) {
            exchange.complete(AttemptOutcomeMapping.CONNECT_FAILED);
        }
    }

    void onConnectionEstablished() {
        connecting--;
        sendWaiting();
    }

    void onStreamClosed() {
        if (!waiting.isEmpty()) {
            sendWaiting();
        }
    }

    void onConnectionClosed(WorkerConnection connection) {
        boolean removed = connections.remove(connection);
        if (removed && !connection.isEstablished()) {
            onConnectFailed();
        } else if (!waiting.isEmpty()) {
            sendWaiting();
        }
    }

    /** Stops sending: exchanges that are not yet sent fail, and idle connections are closed. */
    void drain() {
        draining = true;
        failWaiting();
        closeIdle(0);
    }

    void resume() {
        draining = false;
    }

    void closeIdle(long afterNanos) {
        for (WorkerConnection connection : List.copyOf(connections)) {
            if (connection.isEstablished() && connection.activeStreams() == 0 && connection.idleNanos() >= afterNanos) {
                connection.close();
            }
        }
    }

    boolean isUnused() {
        return draining && connections.isEmpty() && waiting.isEmpty();
    }

    void closeAll() {
        draining = true;
        failWaiting();
        List.copyOf(connections).forEach(WorkerConnection::close);
    }
}

package wharfhinge.client.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2SettingsFrame;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The connections to one gateway. An attempt for which no connection has a free stream waits for a connection that is being
 * established. If no connection can take it and no further one is allowed, it ends as not sent. Thread-safe.
 */
final class GatewayConnections {
    private static final int DEFAULT_MAX_STREAMS = 100;
    private static final int MAX_WAITING_PER_CONNECTION = 10_000;

    private final String address;
    private final HttpTransport transport;
    private final List<Connection> connections = new ArrayList<>(); // guarded by this
    private boolean closed;

    GatewayConnections(String address, HttpTransport transport) {
        this.address = address;
        this.transport = transport;
    }

    /** One connection; its fields are guarded by the enclosing object. */
    private final class Connection {
        private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
        private Channel channel;
        private boolean ready;
        private boolean draining;
        private int streams;
        private int maxStreams = DEFAULT_MAX_STREAMS;
    }

    void send(Exchange exchange) {
        Connection available = null;
        Connection newConnection = null;
        String reason = null;
        synchronized (this) {
            for (Connection connection : connections) {
                if (connection.ready
                        && !connection.draining
                        && connection.streams < connection.maxStreams
                        && (available == null || connection.streams < available.streams)) {
                    available = connection;
                }
            }
            if (available != null) {
                available.streams++;
            } else {
                Connection connecting = connections.stream()
                        .filter(connection -> !connection.ready
                                && !connection.draining
                                && connection.waiting.size() < DEFAULT_MAX_STREAMS)
                        .findFirst()
                        .orElse(null);
                boolean canAddConnection = connections.stream()
                                .filter(connection -> !connection.draining)
                                .count()
                        < transport.connectionsPerGateway();
                if (closed) {
                    reason = "client closed";
                } else if (connecting != null) {
                    connecting.waiting.add(exchange);
                } else if (canAddConnection) {
                    newConnection = new Connection();
                    newConnection.waiting.add(exchange);
                    connections.add(newConnection);
                } else {
                    connecting = connections.stream()
                            .filter(connection -> !connection.ready
                                    && !connection.draining
                                    && connection.waiting.size() < MAX_WAITING_PER_CONNECTION)
                            .findFirst()
                            .orElse(null);
                    reason = connecting == null ? "no free stream on any connection" : null;
                    if (connecting != null) {
                        connecting.waiting.add(exchange);
                    }
                }
            }
        }
        if (reason != null) {
            exchange.failUnsent(reason);
        } else if (available != null) {
            openStream(available, exchange);
        } else if (newConnection != null) {
            connect(newConnection);
        }
    }

    private void connect(Connection connection) {
        int colon = address.lastIndexOf(':');
        ChannelFuture connectFuture;
        try {
            connectFuture = transport
                    .bootstrap(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)),
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    channel.pipeline()
                                            .addLast(
                                                    Http2FrameCodecBuilder.forClient()
                                                            .build(),
                                                    new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                                    new ConnectionHandler(connection));
                                }
                            })
                    .connect();
        } catch (RuntimeException e) {
            onClosed(connection, "address: found '" + address + "', allowed: host:port");
            return;
        }
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                onClosed(connection, "connect failed: " + done.cause().getMessage());
                return;
            }
            Channel channel = connectFuture.channel();
            channel.eventLoop()
                    .schedule(
                            () -> {
                                synchronized (this) {
                                    if (connection.ready) {
                                        return;
                                    }
                                }
                                onClosed(connection, "no SETTINGS received within the connect timeout");
                                channel.close();
                            },
                            transport.connectTimeout().toMillis(),
                            TimeUnit.MILLISECONDS);
        });
    }

    private void openStream(Connection connection, Exchange exchange) {
        new Http2StreamChannelBootstrap(connection.channel)
                .handler(new ChannelInboundHandlerAdapter())
                .open()
                .addListener((Future<Http2StreamChannel> opened) -> {
                    if (opened.isSuccess()) {
                        Http2StreamChannel stream = opened.getNow();
                        stream.closeFuture().addListener(closed -> onStreamClosed(connection));
                        exchange.start(stream);
                    } else {
                        onStreamClosed(connection);
                        exchange.failUnsent(
                                "stream not opened: " + opened.cause().getMessage());
                    }
                });
    }

    private synchronized void onStreamClosed(Connection connection) {
        connection.streams--;
        if (connection.draining && connection.streams == 0 && connection.channel != null) {
            connection.channel.close();
        }
    }

    private void onReady(Connection connection, Channel channel, Long maxStreams) {
        List<Exchange> startable = new ArrayList<>();
        List<Exchange> unplaced = new ArrayList<>();
        synchronized (this) {
            connection.maxStreams =
                    maxStreams == null ? connection.maxStreams : (int) Math.min(maxStreams, Integer.MAX_VALUE);
            connection.channel = channel;
            connection.ready = true;
            while (!connection.waiting.isEmpty()) {
                Exchange next = connection.waiting.poll();
                if (!next.ended() && connection.streams < connection.maxStreams) {
                    connection.streams++;
                    startable.add(next);
                } else if (!next.ended()) {
                    unplaced.add(next);
                }
            }
        }
        startable.forEach(exchange -> openStream(connection, exchange));
        unplaced.forEach(this::send);
    }

    private void onClosed(Connection connection, String reason) {
        List<Exchange> waiting;
        synchronized (this) {
            connection.draining = true;
            connections.remove(connection);
            waiting = new ArrayList<>(connection.waiting);
            connection.waiting.clear();
        }
        waiting.forEach(exchange -> exchange.failUnsent(reason));
    }

    void close() {
        List<Connection> all;
        synchronized (this) {
            closed = true;
            all = new ArrayList<>(connections);
        }
        for (Connection connection : all) {
            onClosed(connection, "client closed");
            if (connection.channel != null) {
                connection.channel.close();
            }
        }
    }

    /** Handles the frames and events that concern the connection as a whole. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        private final Connection connection;

        ConnectionHandler(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof Http2SettingsFrame settings) {
                onReady(connection, ctx.channel(), settings.settings().maxConcurrentStreams());
            } else if (message instanceof Http2GoAwayFrame) {
                synchronized (GatewayConnections.this) { // no new streams; the open ones continue
                    connection.draining = true;
                    connections.remove(connection);
                    if (connection.streams == 0) {
                        ctx.close();
                    }
                }
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            onClosed(connection, "connection closed");
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            onClosed(connection, cause.toString());
            ctx.close();
        }
    }
}

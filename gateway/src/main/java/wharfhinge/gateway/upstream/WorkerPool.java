package wharfhinge.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
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
import java.util.concurrent.TimeUnit;
import wharfhinge.config.GatewayConfig;

/**
 * The connections to one worker; lives on one event loop, so that none of it needs a lock. What waits for a connection
 * is bounded by the calls that are open, and waits no longer than a dial may take.
 */
final class WorkerPool {
    private static final int STREAM_WINDOW = 1 << 18;

    private final EventLoop loop;
    private final GatewayConfig.Workers settings;
    private final Bootstrap bootstrap;
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private final List<WorkerConnection> connections = new ArrayList<>();
    private int dialing;
    private boolean gone;

    WorkerPool(
            String id, EventLoop loop, Class<? extends Channel> channel, GatewayConfig.Workers settings, boolean gone) {
        this.gone = gone;
        this.loop = loop;
        this.settings = settings;
        int colon = id.lastIndexOf(':');
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channel)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (settings.dialTimeoutNanos() / 1_000_000))
                .remoteAddress(
                        new InetSocketAddress(id.substring(0, colon), Integer.parseInt(id.substring(colon + 1))));
    }

    EventLoop loop() {
        return loop;
    }

    /** Sends it now, or once a connection stands. */
    void start(Exchange exchange) {
        if (exchange.done()) {
            return;
        }
        if (gone) {
            exchange.end(Ending.NOT_CONNECTED);
            return;
        }
        if (exchange.unwanted()) {
            exchange.end(Ending.WITHDRAWN);
            return;
        }
        waiting.add(exchange);
        serve();
    }

    /** Stops an exchange wherever it is. */
    void cancel(Exchange exchange) {
        if (exchange.connection != null) {
            exchange.connection.cancel(exchange);
        } else {
            waiting.remove(exchange);
            exchange.close();
        }
    }

    /** Ends it unless it has gone out. */
    void withdraw(Exchange exchange) {
        if (exchange.connection == null && !exchange.done()) {
            waiting.remove(exchange);
            exchange.end(Ending.WITHDRAWN);
        }
    }

    private void serve() {
        while (!waiting.isEmpty()) {
            WorkerConnection best = null;
            for (WorkerConnection c : connections) {
                best = c.hasRoom() && (best == null || c.load() < best.load()) ? c : best;
            }
            if (best == null) {
                break;
            }
            Exchange next = waiting.poll();
            if (next.unwanted()) {
                next.end(Ending.WITHDRAWN);
            } else if (!next.stampDeadline()) {
                next.end(Ending.TOO_LATE);
            } else {
                best.open(next);
            }
        }
        while (waiting.size() > dialing * settings.streamsPerConnection()
                && connections.size() < settings.maxConnections()) {
            dial();
        }
        if (dialing == 0) {
            failWaiting(); // as many connections as there may be, and all are full
        }
    }

    private void dial() {
        dialing++;
        Http2FrameCodec codec = Http2FrameCodecBuilder.forClient()
                .initialSettings(Http2Settings.defaultSettings()
                        .pushEnabled(false)
                        .initialWindowSize(STREAM_WINDOW)
                        .maxHeaderListSize(16_384))
                .encoderEnforceMaxConcurrentStreams(false)
                .build();
        WorkerConnection connection =
                new WorkerConnection(this, settings.streamsPerConnection(), settings.maxAnswerBytes());
        connections.add(connection);
        Bootstrap dial = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(codec, connection);
            }
        });
        dial.connect().addListener((io.netty.channel.ChannelFuture done) -> {
            if (!done.isSuccess() && connections.remove(connection)) {
                dialEnded();
            }
        });
        loop.schedule(
                () -> {
                    if (!connection.established() && connections.contains(connection)) {
                        connection.close();
                    }
                },
                settings.dialTimeoutNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void dialEnded() {
        dialing--;
        if (dialing == 0 && connections.stream().noneMatch(WorkerConnection::hasRoom)) {
            failWaiting();
        } else {
            serve();
        }
    }

    private void failWaiting() {
        for (Exchange exchange = waiting.poll(); exchange != null; exchange = waiting.poll()) {
            exchange.end(Ending.NOT_CONNECTED);
        }
    }

    void established() {
        dialing--;
        serve();
    }

    void roomMade() {
        if (!waiting.isEmpty()) {
            serve();
        }
    }

    void lost(WorkerConnection connection) {
        boolean known = connections.remove(connection);
        if (known && !connection.established()) {
            dialEnded();
        } else if (!waiting.isEmpty()) {
            serve();
        }
    }

    /** Nothing new goes out; what is not on the wire ends now, and idle connections close. */
    void leave() {
        gone = true;
        failWaiting();
        closeIdle(0);
    }

    void back() {
        gone = false;
    }

    void closeIdle(long afterNanos) {
        for (WorkerConnection c : List.copyOf(connections)) {
            if (c.established() && c.load() == 0 && c.idleNanos() >= afterNanos) {
                c.close();
            }
        }
    }

    boolean unused() {
        return gone && connections.isEmpty() && waiting.isEmpty();
    }

    void closeAll() {
        gone = true;
        failWaiting();
        List.copyOf(connections).forEach(WorkerConnection::close);
    }
}

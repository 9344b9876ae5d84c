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

/** The connections to one gateway. What finds none with a free stream waits for one that is being made; where all are full it ends. */
final class Peer {
    private static final int STREAMS_UNTOLD = 100;
    private static final int MOST_WAITING = 10_000;

    private final String name;
    private final HttpTransport transport;
    private final List<Connection> connections = new ArrayList<>(); // guarded by this
    private boolean closed;

    Peer(String name, HttpTransport transport) {
        this.name = name;
        this.transport = transport;
    }

    /** One connection; its fields are guarded by the peer. */
    private final class Connection {
        private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
        private Channel channel;
        private boolean ready;
        private boolean leaving;
        private int streams;
        private int most = STREAMS_UNTOLD;
    }

    void send(Exchange exchange) {
        Connection on = null;
        Connection fresh = null;
        String why = null;
        synchronized (this) {
            for (Connection c : connections) {
                if (c.ready && !c.leaving && c.streams < c.most && (on == null || c.streams < on.streams)) {
                    on = c;
                }
            }
            if (on != null) {
                on.streams++;
            } else {
                Connection made = connections.stream()
                        .filter(c -> !c.ready && !c.leaving && c.waiting.size() < STREAMS_UNTOLD)
                        .findFirst()
                        .orElse(null);
                boolean room = connections.stream().filter(c -> !c.leaving).count() < transport.connectionsEach();
                if (closed) {
                    why = "client closed";
                } else if (made != null) {
                    made.waiting.add(exchange);
                } else if (room) {
                    fresh = new Connection();
                    fresh.waiting.add(exchange);
                    connections.add(fresh);
                } else {
                    made = connections.stream()
                            .filter(c -> !c.ready && !c.leaving && c.waiting.size() < MOST_WAITING)
                            .findFirst()
                            .orElse(null);
                    why = made == null ? "all connections are full" : null;
                    if (made != null) {
                        made.waiting.add(exchange);
                    }
                }
            }
        }
        if (why != null) {
            exchange.notSent(why);
        } else if (on != null) {
            open(on, exchange);
        } else if (fresh != null) {
            connect(fresh);
        }
    }

    private void connect(Connection c) {
        int colon = name.lastIndexOf(':');
        ChannelFuture connecting;
        try {
            connecting = transport
                    .bootstrap(
                            name.substring(0, colon),
                            Integer.parseInt(name.substring(colon + 1)),
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    channel.pipeline()
                                            .addLast(
                                                    Http2FrameCodecBuilder.forClient()
                                                            .build(),
                                                    new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                                    new Watch(c));
                                }
                            })
                    .connect();
        } catch (RuntimeException e) {
            gone(c, "address: found '" + name + "', allowed: host:port");
            return;
        }
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                gone(c, "not connected: " + done.cause().getMessage());
                return;
            }
            Channel channel = connecting.channel();
            channel.eventLoop()
                    .schedule(
                            () -> {
                                synchronized (this) {
                                    if (c.ready) {
                                        return;
                                    }
                                }
                                gone(c, "accepted, and says nothing");
                                channel.close();
                            },
                            transport.connectWithin().toMillis(),
                            TimeUnit.MILLISECONDS);
        });
    }

    private void open(Connection c, Exchange exchange) {
        new Http2StreamChannelBootstrap(c.channel)
                .handler(new ChannelInboundHandlerAdapter())
                .open()
                .addListener((Future<Http2StreamChannel> opened) -> {
                    if (opened.isSuccess()) {
                        Http2StreamChannel stream = opened.getNow();
                        stream.closeFuture().addListener(closed -> freed(c));
                        exchange.go(stream);
                    } else {
                        freed(c);
                        exchange.notSent("no stream: " + opened.cause().getMessage());
                    }
                });
    }

    private synchronized void freed(Connection c) {
        c.streams--;
        if (c.leaving && c.streams == 0 && c.channel != null) {
            c.channel.close();
        }
    }

    private void ready(Connection c, Channel channel, Long most) {
        List<Exchange> go = new ArrayList<>();
        List<Exchange> over = new ArrayList<>();
        synchronized (this) {
            c.most = most == null ? c.most : (int) Math.min(most, Integer.MAX_VALUE);
            c.channel = channel;
            c.ready = true;
            while (!c.waiting.isEmpty()) {
                Exchange next = c.waiting.poll();
                if (!next.over() && c.streams < c.most) {
                    c.streams++;
                    go.add(next);
                } else if (!next.over()) {
                    over.add(next);
                }
            }
        }
        go.forEach(e -> open(c, e));
        over.forEach(this::send);
    }

    private void gone(Connection c, String why) {
        List<Exchange> waiting;
        synchronized (this) {
            c.leaving = true;
            connections.remove(c);
            waiting = new ArrayList<>(c.waiting);
            c.waiting.clear();
        }
        waiting.forEach(e -> e.notSent(why));
    }

    void close() {
        List<Connection> all;
        synchronized (this) {
            closed = true;
            all = new ArrayList<>(connections);
        }
        for (Connection c : all) {
            gone(c, "client closed");
            if (c.channel != null) {
                c.channel.close();
            }
        }
    }

    /** What the gateway says of the connection itself. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final Connection of;

        Watch(Connection of) {
            this.of = of;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof Http2SettingsFrame settings) {
                ready(of, ctx.channel(), settings.settings().maxConcurrentStreams());
            } else if (message instanceof Http2GoAwayFrame) {
                synchronized (Peer.this) { // no new streams; those open are answered
                    of.leaving = true;
                    connections.remove(of);
                    if (of.streams == 0) {
                        ctx.close();
                    }
                }
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            gone(of, "connection closed");
            super.channelInactive(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            gone(of, cause.toString());
            ctx.close();
        }
    }
}

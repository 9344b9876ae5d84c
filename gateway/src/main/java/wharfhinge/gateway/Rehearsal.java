package wharfhinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.AccessLog;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.engine.PeerTransport;
import wharfhinge.engine.StepJournal;
import wharfhinge.gateway.front.Front;
import wharfhinge.gateway.front.Intake;
import wharfhinge.gateway.front.StatusPage;
import wharfhinge.gateway.tls.Identity;
import wharfhinge.gateway.upstream.HttpWorkers;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.WorkerProtocol;

/**
 * Plays calls through a front, a loop and connections of its own, on loopback, before a worker of its own that answers at once, until
 * the compiler has what it needs or the time is over. A process that is new runs its first thousands of calls some ten times slower;
 * under full load it then refuses and is late for seconds. Nothing is said to a worker of the fleet, the roster, a peer, a journal or a
 * capture, and no belief of it goes into the real loop. Calls come in the clear and over HTTP/1.1: TLS, HTTP/2 and gRPC stay cold.
 */
final class Rehearsal {
    private static final int WORKERS = 3;
    private static final int FUNCTIONS = 64;
    private static final int CLIENTS = 8;
    private static final int CHUNK = 1000; // calls between two looks at the clock
    private static final int PATIENCE = 10; // chunks that bring nothing new
    private static final double QUICKER = 0.95; // brings something
    private static final int MOST_BODY = 1 << 16;
    private static final int ANSWER_MS = 2000; // a client gives up then
    private static final long WITHIN_S = 5;

    /** How many calls it took, how long, and the time between two answers in the quickest thousand, microseconds. */
    record Played(long calls, long tookMillis, long quickestUs) {}

    private final GatewayConfig config;
    private final EventLoopGroup group;
    private final long end;
    private final BooleanSupplier stopped;
    private final AtomicLong calls = new AtomicLong();
    private long from; // of the chunk; this and what follows is guarded by this
    private long quickest = Long.MAX_VALUE;
    private int nothingNew;

    private Rehearsal(GatewayConfig config, EventLoopGroup group, long end, BooleanSupplier stopped) {
        this.config = config.onAnyPort();
        this.group = group;
        this.end = end;
        this.stopped = stopped;
    }

    /** Plays for at most so long, and no longer than until {@code stopped}; 0: not at all. The groups are the gateway's and go on. */
    static Played play(
            GatewayConfig config,
            long mostNanos,
            EventLoopGroup acceptor,
            EventLoopGroup group,
            Class<? extends Channel> channel,
            Class<? extends ServerChannel> server,
            BooleanSupplier stopped)
            throws InterruptedException {
        long begin = System.nanoTime();
        if (mostNanos <= 0) {
            return new Played(0, 0, 0);
        }
        Rehearsal it = new Rehearsal(config, group, begin + mostNanos, stopped);
        it.play(acceptor, channel, server);
        return new Played(
                it.calls.get(),
                (System.nanoTime() - begin) / 1_000_000,
                it.quickest == Long.MAX_VALUE ? 0 : it.quickest / CHUNK / 1000);
    }

    private void play(EventLoopGroup acceptor, Class<? extends Channel> channel, Class<? extends ServerChannel> server)
            throws InterruptedException {
        List<Channel> stage = new ArrayList<>();
        try (HttpWorkers workers = new HttpWorkers(config, group, channel, System::nanoTime)) {
            for (int i = 0; i < WORKERS; i++) {
                stage.add(worker(acceptor, server));
            }
            DispatchEngine loop = new DispatchEngine(
                    Gateway.engineSettings(config),
                    DispatcherFactory.CACHE_AWARE,
                    workers,
                    EndpointSource.pushedBy(updates -> {}),
                    PeerTransport.NONE,
                    StepJournal.NONE,
                    AccessLog.NONE,
                    System::nanoTime);
            Thread thread = new Thread(loop, "rehearsal");
            thread.setDaemon(true);
            thread.start();
            loop.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 1, fleet(stage)));
            Front front = new Front(
                    config, new Intake(config, loop, new Identity(null, false)), new StatusPage(Map::of), null);
            clients(front.listen(acceptor, group, server));
            front.finish();
            try {
                loop.shutdown(0).get(WITHIN_S, TimeUnit.SECONDS);
            } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
                thread.interrupt(); // it serves nobody
            }
            front.close();
            thread.join(TimeUnit.SECONDS.toMillis(WITHIN_S)); // it says that it is over before its last step
        } finally {
            stage.forEach(Channel::close);
        }
    }

    private List<RosterEntry> fleet(List<Channel> stage) {
        DispatcherSettings settings = config.settings();
        return stage.stream()
                .map(c -> new RosterEntry(
                        "127.0.0.1:" + ((InetSocketAddress) c.localAddress()).getPort(),
                        settings.zone(),
                        settings.kinds().get(0),
                        0,
                        RosterEntry.State.UP,
                        1,
                        RosterEntry.UNTOLD,
                        RosterEntry.NO_BOOT))
                .toList();
    }

    // ---- Clients ----------------------------------------------------------------------------

    private void clients(InetSocketAddress to) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        from = System.nanoTime();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread = new Thread(() -> client(to.getPort()), "rehearsal-client-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** One call after the other on one connection; an answer that does not come ends it. */
    private void client(int port) {
        List<RequestClass> classes = config.settings().classes();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_MS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (long number = calls.getAndIncrement(); goesOn(number); number = calls.getAndIncrement()) {
                String head = "POST /v1/call/r" + number * number % FUNCTIONS
                        + " HTTP/1.1\r\nhost: gateway\r\nwh-class: "
                        + classes.get((int) (number % classes.size())).name() + "\r\nwh-deadline-ms: " + ANSWER_MS
                        + "\r\nwh-memory-mb: 1\r\nwh-lanes: 8\r\ncontent-length: 0\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                answer(in);
            }
        } catch (IOException e) {
            return; // one client fewer; the time bounds it all
        }
    }

    private static void answer(BufferedReader in) throws IOException {
        int length = 0;
        for (String line = in.readLine(); line == null || !line.isEmpty(); line = in.readLine()) {
            if (line == null) {
                throw new IOException("closed");
            }
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        in.skip(length);
    }

    private synchronized boolean goesOn(long number) {
        long now = System.nanoTime();
        if (number % CHUNK == CHUNK - 1) {
            nothingNew = now - from < QUICKER * quickest ? 0 : nothingNew + 1;
            quickest = Math.min(quickest, now - from);
            from = now;
        }
        return nothingNew < PATIENCE && now < end && !stopped.getAsBoolean();
    }

    // ---- A worker of its own ----------------------------------------------------------------

    private Channel worker(EventLoopGroup acceptor, Class<? extends ServerChannel> server) throws InterruptedException {
        try {
            return new ServerBootstrap()
                    .group(acceptor, group)
                    .channel(server)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            Http2FrameCodecBuilder.forServer().build(),
                                            new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                                @Override
                                                protected void initChannel(Channel stream) {
                                                    stream.pipeline()
                                                            .addLast(
                                                                    new Http2StreamFrameToHttpObjectCodec(true),
                                                                    new HttpObjectAggregator(MOST_BODY),
                                                                    new Answers());
                                                }
                                            }));
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
        } catch (RuntimeException e) {
            throw new UncheckedIOException(new IOException("no port for the rehearsal: " + e.getMessage(), e));
        }
    }

    /** Serves all, at once. */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
            response.headers()
                    .set(WorkerProtocol.OUTCOME, AnswerCode.SERVED.word())
                    .set(WorkerProtocol.NOTE, CopyNote.FOUND.word())
                    .setInt(WorkerProtocol.COUNT, 1)
                    .setInt("content-length", 0);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

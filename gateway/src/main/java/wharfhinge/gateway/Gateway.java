package wharfhinge.gateway;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.config.ChainConfig;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EngineSettings;
import wharfhinge.engine.PeerTransport;
import wharfhinge.engine.Slf4jAccessLog;
import wharfhinge.engine.StepJournal;
import wharfhinge.gateway.discovery.EndpointSnapshotFile;
import wharfhinge.gateway.discovery.HttpEndpointSource;
import wharfhinge.gateway.front.Front;
import wharfhinge.gateway.front.Intake;
import wharfhinge.gateway.front.StatusPage;
import wharfhinge.gateway.grpc.GrpcFront;
import wharfhinge.gateway.tls.Identity;
import wharfhinge.gateway.tls.Tls;
import wharfhinge.gateway.tls.Tokens;
import wharfhinge.gateway.upstream.HttpWorkers;

/** One gateway: put together here, begun by {@link #start}, ended by {@link #stop}. Shares nothing with another. */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final int IO_THREADS = 4;
    private static final long LINGER_MS = 100; // calls that left their clients before these knew

    private final GatewayConfig config;
    private final Class<? extends Channel> channel;
    private final Class<? extends ServerChannel> server;
    private final EventLoopGroup acceptor;
    private final EventLoopGroup group;
    private final HttpWorkers workers;
    private final EndpointSource source;
    private final EndpointSnapshotFile remembered;
    private final StepJournal journal;
    private final CapturedDecisions captured;
    private final DispatchEngine loop;
    private final Front front;
    private final Slf4jAccessLog log;
    private final UdpPeers peers;
    private final Thread thread;
    private final Object life = new Object(); // held by whoever rehearses, starts or stops
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final GrpcFront grpc;
    private final Tls tls;
    private InetSocketAddress address;
    private InetSocketAddress grpcAddress;
    private Rehearsal.Played rehearsed = new Rehearsal.Played(0, 0, 0);

    /** What the engine reads of a gateway's settings. */
    static EngineSettings engineSettings(GatewayConfig config) {
        ChainConfig chains = config.chains();
        return new EngineSettings(
                config.seed(),
                config.settings(),
                config.clients().maxOpen(),
                config.clients().handOver(),
                config.door(),
                new EngineSettings.Chains(
                        chains.settings(), chains.resumeWindowNanos(), chains.resumeKeys(), chains.resumeBytes()));
    }

    /** A gateway whose list comes from the roster of its settings. */
    public Gateway(GatewayConfig config) throws InterruptedException {
        this(config, DispatcherFactory.CACHE_AWARE, null);
    }

    /**
     * A gateway with other decisions or another source of the list.
     *
     * @param sourceOf makes the source from an I/O group and its channel type; null for the roster of the settings
     */
    public Gateway(
            GatewayConfig config,
            DispatcherFactory decisions,
            BiFunction<EventLoopGroup, Class<? extends Channel>, EndpointSource> sourceOf)
            throws InterruptedException {
        this.config = config;
        boolean epoll = Epoll.isAvailable();
        channel = epoll ? EpollSocketChannel.class : NioSocketChannel.class;
        server = epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
        acceptor = group(epoll, 1);
        group = group(epoll, IO_THREADS);
        workers = new HttpWorkers(config, group, channel, System::nanoTime);
        source = sourceOf == null ? new HttpEndpointSource(config, group, channel) : sourceOf.apply(group, channel);
        remembered = new EndpointSnapshotFile(config.roster().remembered(), System::currentTimeMillis);
        log = new Slf4jAccessLog(config.log().remarksPerS());
        AtomicReference<PeerTransport> link = new AtomicReference<>(PeerTransport.NONE);
        journal = config.chains().resumeFile() == null
                ? StepJournal.NONE
                : new MvStepJournal(
                        config.chains().resumeFile(), config.chains().resumeWindowNanos(), System::currentTimeMillis);
        captured = config.capture() == null ? null : new CapturedDecisions(decisions, config.name(), config.capture());
        loop = new DispatchEngine(
                engineSettings(config),
                captured == null ? decisions : captured,
                workers,
                source,
                (peer, payload) -> link.get().send(peer, payload),
                journal,
                log,
                System::nanoTime);
        BiConsumer<Integer, byte[]> inbox = loop::onPeerMessage;
        Class<? extends DatagramChannel> datagrams = epoll ? EpollDatagramChannel.class : NioDatagramChannel.class;
        peers = config.peers().isEmpty()
                ? null
                : new UdpPeers(config.settings().dispatcherNumber(), config.peers(), group, datagrams, inbox);
        if (peers != null) {
            link.set(peers);
        }
        Intake intake;
        try {
            tls = config.tls() == null ? null : new Tls(config.tls());
            GatewayConfig.Proof proof = config.proof();
            intake = new Intake(
                    config,
                    loop,
                    new Identity(
                            proof == null || proof.tokenKey() == null
                                    ? null
                                    : new Tokens(proof.tokenKey(), System::currentTimeMillis),
                            proof != null && proof.needed()));
        } catch (IOException e) {
            throw new UncheckedIOException(e.getMessage(), e);
        }
        front = new Front(config, intake, new StatusPage(this::figures), tls == null ? null : tls.context());
        grpc = config.grpc() == null
                ? null
                : new GrpcFront(config, intake, tls == null ? null : tls.context(), acceptor, group, server);
        thread = new Thread(loop, "decisions");
    }

    private static EventLoopGroup group(boolean epoll, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, epoll ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /** Warms up, for at most as long as the settings say; to be called before {@link #start}, or not at all. A stop ends it. */
    public void rehearse() throws InterruptedException {
        synchronized (life) {
            if (stopping.get()) {
                return;
            }
            rehearsed = Rehearsal.play(
                    config, config.clients().rehearseNanos(), acceptor, group, channel, server, stopping::get);
        }
        LOG.info(
                "gateway {} rehearsed {} calls in {} ms, {} us each at last",
                config.name(),
                rehearsed.calls(),
                rehearsed.tookMillis(),
                rehearsed.quickestUs());
    }

    /** What came of the rehearsal. */
    Rehearsal.Played rehearsed() {
        return rehearsed;
    }

    /** Begins: the remembered list, the loop, the roster, then the port, whose address it tells; null where it was told to stop before. */
    public InetSocketAddress start() throws InterruptedException {
        synchronized (life) {
            return stopping.get() ? null : begin();
        }
    }

    private InetSocketAddress begin() throws InterruptedException {
        remembered.read().ifPresent(list -> {
            LOG.info(
                    "remembered list of revision {} with {} workers",
                    list.revision(),
                    list.entries().size());
            loop.onEndpointUpdate(list);
        });
        thread.start();
        source.start(update -> {
            loop.onEndpointUpdate(update);
            remembered.onEndpointUpdate(update);
        });
        address = front.listen(acceptor, group, server);
        if (grpc != null) {
            try {
                grpcAddress = grpc.listen();
            } catch (IOException e) {
                throw new UncheckedIOException(
                        "grpc on " + config.grpc().address() + ":"
                                + config.grpc().port() + ": " + e.getMessage(),
                        e);
            }
            LOG.info("gateway {} takes gRPC on {}", config.name(), grpcAddress);
        }
        LOG.info("gateway {} takes calls on {}", config.name(), address);
        return address;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where it takes gRPC, or null. */
    public InetSocketAddress grpcAddress() {
        return grpcAddress;
    }

    /** What it counts. */
    public Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>(loop.metrics().snapshot());
        figures.putAll(loop.chainMetrics());
        figures.putAll(loop.admissionMetrics());
        figures.put("ready", 1L); // nobody could read it before
        figures.put("rehearsed_calls", rehearsed.calls());
        figures.put("rehearsed_ms", rehearsed.tookMillis());
        figures.put("open_calls", (long) loop.pendingCalls());
        figures.put("connections", (long) front.connections());
        figures.put("connections_turned_away", front.turnedAway());
        figures.put("remarks_dropped", log.dropped());
        if (captured != null) {
            captured.into(figures);
        }
        return figures;
    }

    /** The loop, for those who put a gateway into a program of their own. */
    public DispatchEngine loop() {
        return loop;
    }

    /**
     * Takes nothing more, answers what is open within the time that the settings give, and ends.
     *
     * @return how many calls had to be ended without a worker's answer; 0 where it was told to stop before
     */
    public int stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return 0;
        }
        synchronized (life) { // a rehearsal or a start under way ends first
            if (thread.getState() == Thread.State.NEW) {
                thread.start(); // never begun: the loop ends by itself as any other
            }
            return end();
        }
    }

    private int end() throws InterruptedException {
        long within = config.clients().stopWithinNanos();
        LOG.info("gateway {} stops: {} calls open", config.name(), loop.pendingCalls());
        front.finish(); // first: clients go elsewhere, and what is on its way meanwhile is still taken
        if (grpc != null) {
            grpc.finish();
        }
        TimeUnit.MILLISECONDS.sleep(LINGER_MS);
        var closed = loop.shutdown(within);
        int ended = 0;
        try {
            ended = closed.get(within + TimeUnit.SECONDS.toNanos(1), TimeUnit.NANOSECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            LOG.error("the loop did not end in time", e);
        }
        source.close();
        remembered.close();
        journal.close();
        if (captured != null) {
            captured.close();
        }
        workers.close();
        if (peers != null) {
            peers.close();
        }
        front.close();
        if (grpc != null) {
            grpc.close();
        }
        if (tls != null) {
            tls.close();
        }
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        group.shutdownGracefully(50, 1000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
        LOG.info("gateway {} stopped, {} calls were ended", config.name(), ended);
        return ended;
    }
}

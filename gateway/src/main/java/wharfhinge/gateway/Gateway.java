package wharfhinge.gateway;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;
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
import wharfhinge.engine.SteadyWallClock;
import wharfhinge.engine.StepJournal;
import wharfhinge.gateway.discovery.EndpointSnapshotFile;
import wharfhinge.gateway.discovery.HttpEndpointSource;
import wharfhinge.gateway.front.CallIngress;
import wharfhinge.gateway.front.ClientListener;
import wharfhinge.gateway.front.StatusPage;
import wharfhinge.gateway.grpc.GrpcListener;
import wharfhinge.gateway.tls.BearerTokens;
import wharfhinge.gateway.tls.CallAuthenticator;
import wharfhinge.gateway.tls.TlsContext;
import wharfhinge.gateway.upstream.HttpWorkerTransport;

/**
 * One gateway: its parts are wired here, started by {@link #start} and shut down by {@link #stop}. Gateways of a process
 * share nothing. {@link #warmUp}, {@link #start} and {@link #stop} exclude each other; any thread may call.
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    /** After GOAWAY, before the engine rejects: calls that clients sent before they saw it are still accepted. */
    private static final long SHUTDOWN_LINGER_MILLIS = 100;
    /** Beyond the grace period, for the engine to abort what is left. */
    private static final long ENGINE_SHUTDOWN_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final GatewayConfig config;
    private final NettyResources netty = new NettyResources();
    private final HttpWorkerTransport workerTransport;
    private final EndpointSource endpointSource;
    private final EndpointSnapshotFile endpointSnapshot;
    private final StepJournal journal;
    private final RecordingDispatcherFactory recording; // null where nothing is captured
    private final Slf4jAccessLog accessLog;
    private final DispatchEngine engine;
    private final Thread engineThread;
    private final UdpPeerTransport peers; // null where none are set
    private final TlsContext tls; // null where calls come in the clear
    private final ClientListener clientListener;
    private final GrpcListener grpcListener; // null where none is set
    private final ReentrantLock lifecycleLock = new ReentrantLock();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private InetSocketAddress address;
    private InetSocketAddress grpcAddress;
    private WarmUp.Result warmUpResult = WarmUp.Result.SKIPPED;

    /** A gateway that watches the endpoint service of its settings. */
    public Gateway(GatewayConfig config) throws InterruptedException {
        this(config, DispatcherFactory.CACHE_AWARE, null);
    }

    /**
     * A gateway with another dispatcher or endpoint source.
     *
     * @param sourceFactory makes the source from an I/O group and its channel type; null for the endpoint service of the
     *     settings
     * @throws GatewayStartException where a file or port of the settings can't be used
     */
    public Gateway(
            GatewayConfig config,
            DispatcherFactory dispatchers,
            BiFunction<EventLoopGroup, Class<? extends Channel>, EndpointSource> sourceFactory)
            throws InterruptedException {
        this.config = config;
        workerTransport = new HttpWorkerTransport(config, netty.ioGroup(), netty.channelType(), System::nanoTime);
        endpointSource = sourceFactory == null
                ? new HttpEndpointSource(config, netty.ioGroup(), netty.channelType())
                : sourceFactory.apply(netty.ioGroup(), netty.channelType());
        endpointSnapshot = new EndpointSnapshotFile(config.endpointSource().snapshotFile(), new SteadyWallClock());
        accessLog = new Slf4jAccessLog(config.log().diagnosticsPerSecond());
        journal = openJournal(config.chains());
        recording = config.capture() == null
                ? null
                : new RecordingDispatcherFactory(dispatchers, config.name(), config.capture());
        AtomicReference<PeerTransport> peerLink = new AtomicReference<>(PeerTransport.NONE);
        engine = new DispatchEngine(
                engineSettings(config),
                recording == null ? dispatchers : recording,
                workerTransport,
                endpointSource,
                (peer, payload) -> peerLink.get().send(peer, payload),
                journal,
                accessLog,
                System::nanoTime);
        engineThread = new Thread(engine, "decisions");
        peers = openPeers();
        if (peers != null) {
            peerLink.set(peers);
        }
        tls = openTls(config.tls());
        SslContext sslContext = tls == null ? null : tls.context();
        CallIngress intake = new CallIngress(config, engine, newIdentity(config.authentication()));
        clientListener = new ClientListener(config, intake, new StatusPage(this::metrics), sslContext);
        grpcListener = config.grpc() == null
                ? null
                : new GrpcListener(
                        config, intake, sslContext, netty.acceptorGroup(), netty.ioGroup(), netty.serverChannelType());
    }

    /** What the engine reads of a gateway's settings. */
    static EngineSettings engineSettings(GatewayConfig config) {
        ChainConfig chains = config.chains();
        return new EngineSettings(
                config.seed(),
                config.dispatcherSettings(),
                config.clients().maxPendingCalls(),
                config.clients().submissionQueueSize(),
                config.admission(),
                new EngineSettings.Chains(
                        chains.settings(), chains.resumeWindowNanos(), chains.resumeKeys(), chains.resumeBytes()));
    }

    private static StepJournal openJournal(ChainConfig chains) {
        return chains.resumeFile() == null
                ? StepJournal.NONE
                : new MvStoreStepJournal(chains.resumeFile(), chains.resumeWindowNanos(), new SteadyWallClock());
    }

    private UdpPeerTransport openPeers() throws InterruptedException {
        return config.peers().isEmpty()
                ? null
                : new UdpPeerTransport(
                        config.dispatcherSettings().dispatcherNumber(), config.peers(), netty, engine::onPeerMessage);
    }

    private static TlsContext openTls(GatewayConfig.Tls settings) {
        try {
            return settings == null ? null : new TlsContext(settings);
        } catch (IOException e) {
            throw new GatewayStartException(e.getMessage(), e);
        }
    }

    private static CallAuthenticator newIdentity(GatewayConfig.Authentication proof) {
        if (proof == null) {
            return new CallAuthenticator(null, false);
        }
        try {
            // a token's end is a point of Unix time: a step of the wall clock moves it by as much, until the clock is
            // corrected
            BearerTokens tokens =
                    proof.tokenKey() == null ? null : new BearerTokens(proof.tokenKey(), System::currentTimeMillis);
            return new CallAuthenticator(tokens, proof.required());
        } catch (IOException e) {
            throw new GatewayStartException(e.getMessage(), e);
        }
    }

    /** Warms up for at most as long as the settings say; optional, before {@link #start}. A stop ends it early. */
    public void warmUp() throws InterruptedException {
        lifecycleLock.lock();
        try {
            if (stopping.get()) {
                return;
            }
            warmUpResult = WarmUp.run(config, config.clients().warmUpNanos(), netty, stopping::get);
        } finally {
            lifecycleLock.unlock();
        }
        LOG.info(
                "gateway {}: warmed up with {} calls in {} ms, {} us per call in the fastest thousand",
                config.name(),
                warmUpResult.calls(),
                warmUpResult.durationMillis(),
                warmUpResult.fastestCallMicros());
    }

    /** The threads that carry all connections. */
    public EventLoopGroup eventLoops() {
        return netty.ioGroup();
    }

    /** Runs something short on the engine's thread, after what it has before it; any thread. */
    public void runOnEngine(Runnable task) {
        engine.workerStates("", states -> task.run());
    }

    /** What came of the warm-up. */
    WarmUp.Result warmUpResult() {
        return warmUpResult;
    }

    /**
     * Starts from the endpoint snapshot: the engine, the endpoint source, then the listeners.
     *
     * @return the address of the client listener; null where the gateway was stopped before
     * @throws GatewayStartException where the gRPC port can't be bound
     */
    public InetSocketAddress start() throws InterruptedException {
        lifecycleLock.lock();
        try {
            return stopping.get() ? null : startParts();
        } finally {
            lifecycleLock.unlock();
        }
    }

    private InetSocketAddress startParts() throws InterruptedException {
        endpointSnapshot.read().ifPresent(snapshot -> {
            LOG.info(
                    "gateway {}: endpoint snapshot of revision {} loaded, {} workers",
                    config.name(),
                    snapshot.revision(),
                    snapshot.entries().size());
            engine.onEndpointUpdate(snapshot);
        });
        engineThread.start();
        endpointSource.start(update -> {
            engine.onEndpointUpdate(update);
            endpointSnapshot.onEndpointUpdate(update);
        });
        address = clientListener.listen(netty.acceptorGroup(), netty.ioGroup(), netty.serverChannelType());
        if (grpcListener != null) {
            startGrpc();
        }
        LOG.info("gateway {} takes calls on {}", config.name(), address); // scripts wait for these words
        return address;
    }

    private void startGrpc() {
        try {
            grpcAddress = grpcListener.listen();
        } catch (IOException e) {
            String bindAddress = config.grpc().address() + ":" + config.grpc().port();
            throw new GatewayStartException("grpc on " + bindAddress + ": " + e.getMessage(), e);
        }
        LOG.info("gateway {} takes gRPC on {}", config.name(), grpcAddress); // scripts wait for these words
    }

    /** Where clients connect; null before the start. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where gRPC clients connect; null before the start, or where no gRPC port is set. */
    public InetSocketAddress grpcAddress() {
        return grpcAddress;
    }

    /** The status page's keys and values. */
    public Map<String, Long> metrics() {
        Map<String, Long> metrics = new LinkedHashMap<>(engine.metrics().snapshot());
        metrics.putAll(engine.chainMetrics());
        metrics.putAll(engine.admissionMetrics());
        metrics.put("ready", 1L); // nobody could read it before
        putWithDeprecatedKey(metrics, "warm_up_calls", "rehearsed_calls", warmUpResult.calls());
        putWithDeprecatedKey(metrics, "warm_up_ms", "rehearsed_ms", warmUpResult.durationMillis());
        metrics.put("open_calls", (long) engine.pendingCalls());
        metrics.put("connections", (long) clientListener.connections());
        putWithDeprecatedKey(
                metrics, "connections_rejected", "connections_turned_away", clientListener.rejectedConnections());
        putWithDeprecatedKey(metrics, "diagnostics_dropped", "remarks_dropped", accessLog.dropped());
        if (recording != null) {
            recording.addMetricsTo(metrics);
        }
        return metrics;
    }

    /** The former key stays beside the standard one for a version. */
    private static void putWithDeprecatedKey(Map<String, Long> metrics, String key, String deprecatedKey, long value) {
        metrics.put(deprecatedKey, value);
        metrics.put(key, value);
    }

    /** The engine, for those who embed a gateway in a program of their own. */
    public DispatchEngine engine() {
        return engine;
    }

    /**
     * Shuts down: accepts nothing more, completes what is in flight within the grace period of the settings, aborts the rest.
     *
     * @return how many calls were aborted; 0 where it was stopped before
     */
    public int stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return 0;
        }
        lifecycleLock.lock(); // a warm-up or a start in progress ends first
        try {
            if (engineThread.getState() == Thread.State.NEW) {
                engineThread.start(); // never started: shuts down as any other
            }
            return shutDown();
        } finally {
            lifecycleLock.unlock();
        }
    }

    private int shutDown() throws InterruptedException {
        LOG.info("gateway {}: shutting down, {} calls in flight", config.name(), engine.pendingCalls());
        clientListener.startDraining(); // first: clients go elsewhere, and what they already sent is still accepted
        if (grpcListener != null) {
            grpcListener.startDraining();
        }
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_LINGER_MILLIS);
        int abortedCalls = shutDownEngine();
        closeParts();
        LOG.info("gateway {}: stopped, {} calls aborted", config.name(), abortedCalls);
        return abortedCalls;
    }

    private int shutDownEngine() throws InterruptedException {
        long graceNanos = config.clients().shutdownTimeoutNanos();
        CompletableFuture<Integer> aborted = engine.shutdown(graceNanos);
        try {
            return aborted.get(graceNanos + ENGINE_SHUTDOWN_MARGIN_NANOS, TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.error("gateway {}: engine did not shut down in time", config.name(), e);
            return 0;
        }
    }

    private void closeParts() throws InterruptedException {
        endpointSource.close();
        endpointSnapshot.close();
        journal.close();
        if (recording != null) {
            recording.close();
        }
        workerTransport.close();
        if (peers != null) {
            peers.close();
        }
        clientListener.close();
        if (grpcListener != null) {
            grpcListener.close();
        }
        if (tls != null) {
            tls.close();
        }
        netty.close();
    }
}

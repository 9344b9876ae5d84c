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
 * A gateway: creates and connects its components, starts them in {@link #start} and shuts them down in {@link #stop}. Several gateways in
 * one process share nothing. Thread-safe: {@link #warmUp}, {@link #start} and {@link #stop} are mutually exclusive.
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    /** Delay between GOAWAY and the engine's shutdown, so that calls sent before the client received GOAWAY are still accepted. */
    private static final long SHUTDOWN_LINGER_MILLIS = 100;

    /** One connection is accepted in each iteration, on each port. */
    private static final int ACCEPT_ITERATIONS = ClientListener.MAX_BACKLOG + 2;
    /** In one iteration what a client has sent is read, in the next its response is written. */
    private static final int IO_ITERATIONS = 3;

    private static final long ITERATIONS_TIMEOUT_MILLIS = 1000;
    /** Time, added to the grace period, in which the engine aborts the remaining calls. */
    private static final long ENGINE_SHUTDOWN_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final GatewayConfig config;
    private final NettyResources netty = new NettyResources();
    private final HttpWorkerTransport workerTransport;
    private final EndpointSource endpointSource;
    private final EndpointSnapshotFile endpointSnapshot;
    private final StepJournal journal;
    private final RecordingDispatcherFactory recording; // null if nothing is captured
    private final Slf4jAccessLog accessLog;
    private final DispatchEngine engine;
    private final Thread engineThread;
    private final UdpPeerTransport peerTransport; // null if no peers are configured
    private final TlsContext tls; // null if clients connect without TLS
    private final ClientListener clientListener;
    private final GrpcListener grpcListener; // null if no gRPC port is configured
    private final ReentrantLock lifecycleLock = new ReentrantLock();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private InetSocketAddress address;
    private InetSocketAddress grpcAddress;
    private WarmUp.Result warmUpResult = WarmUp.Result.SKIPPED;

    /** Creates a gateway that watches the configured endpoint service. */
    public Gateway(GatewayConfig config) throws InterruptedException {
        this(config, DispatcherFactory.CACHE_AWARE, null);
    }

    /**
     * Creates a gateway with the given dispatcher and endpoint source.
     *
     * @param sourceFactory creates the endpoint source from an I/O group and its channel type; null for the configured endpoint service
     * @throws GatewayStartException if a configured file or port cannot be used
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
        AtomicReference<PeerTransport> peerTransportReference = new AtomicReference<>(PeerTransport.NONE);
        engine = new DispatchEngine(
                engineSettings(config),
                recording == null ? dispatchers : recording,
                workerTransport,
                endpointSource,
                (peer, payload) -> peerTransportReference.get().send(peer, payload),
                journal,
                accessLog,
                System::nanoTime);
        engineThread = new Thread(engine, "decisions");
        peerTransport = openPeerTransport();
        if (peerTransport != null) {
            peerTransportReference.set(peerTransport);
        }
        tls = openTls(config.tls());
        SslContext sslContext = tls == null ? null : tls.context();
        CallIngress ingress = new CallIngress(config, engine, newAuthenticator(config.authentication()));
        clientListener = new ClientListener(config, ingress, new StatusPage(this::metrics), sslContext);
        grpcListener = config.grpc() == null
                ? null
                : new GrpcListener(
                        config, ingress, sslContext, netty.acceptorGroup(), netty.ioGroup(), netty.serverChannelType());
    }

    /** Returns the engine's part of a gateway's configuration. */
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

    private UdpPeerTransport openPeerTransport() throws InterruptedException {
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

    private static CallAuthenticator newAuthenticator(GatewayConfig.Authentication settings) {
        if (settings == null) {
            return new CallAuthenticator(null, false);
        }
        try {
            // Tokens expire at a Unix time, so they are checked against the wall clock itself. A step of that clock
            // shifts every expiry until the clock is corrected.
            BearerTokens tokens = settings.tokenKey() == null
                    ? null
                    : new BearerTokens(settings.tokenKey(), System::currentTimeMillis);
            return new CallAuthenticator(tokens, settings.required());
        } catch (IOException e) {
            throw new GatewayStartException(e.getMessage(), e);
        }
    }

    /** Warms up for at most the configured time. Optional, before {@link #start}. {@link #stop} ends it early. */
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

    /** Returns the event loops that serve all connections. */
    public EventLoopGroup eventLoops() {
        return netty.ioGroup();
    }

    /** Whether a shutdown has begun. */
    boolean isStopping() {
        return stopping.get();
    }

    EventLoopGroup acceptorGroup() {
        return netty.acceptorGroup();
    }

    EventLoopGroup ioGroup() {
        return netty.ioGroup();
    }

    /** Runs a short task on the engine's thread, after the work already queued there. Safe for use by any thread. */
    public void runOnEngine(Runnable task) {
        engine.workerStates("", states -> task.run());
    }

    WarmUp.Result warmUpResult() {
        return warmUpResult;
    }

    /**
     * Reads the endpoint snapshot, then starts the engine, the endpoint source and the listeners, in this order.
     *
     * @return the address of the client listener; null if the gateway was already stopped
     * @throws GatewayStartException if the gRPC port cannot be bound
     */
    public InetSocketAddress start() throws InterruptedException {
        lifecycleLock.lock();
        try {
            return stopping.get() ? null : startComponents();
        } finally {
            lifecycleLock.unlock();
        }
    }

    private InetSocketAddress startComponents() throws InterruptedException {
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

    /** Returns the address for HTTP clients; null before the start. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the address for gRPC clients; null before the start or if no gRPC port is configured. */
    public InetSocketAddress grpcAddress() {
        return grpcAddress;
    }

    /** Returns the keys and values of the status page. */
    public Map<String, Long> metrics() {
        Map<String, Long> metrics = new LinkedHashMap<>(engine.metrics().snapshot());
        metrics.putAll(engine.chainMetrics());
        metrics.putAll(engine.admissionMetrics());
        metrics.put("ready", 1L); // the page is served only after the start
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

    /** Puts a metric under its key and, for one more version, under its deprecated key. */
    private static void putWithDeprecatedKey(Map<String, Long> metrics, String key, String deprecatedKey, long value) {
        metrics.put(deprecatedKey, value);
        metrics.put(key, value);
    }

    /** Returns the engine, for programs that embed a gateway. */
    public DispatchEngine engine() {
        return engine;
    }

    /**
     * Shuts down gracefully: accepts no more calls, completes calls in flight within the configured grace period and aborts the rest.
     *
     * @return the number of aborted calls; 0 if the gateway was already stopped
     */
    public int stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return 0;
        }
        lifecycleLock.lock(); // waits until a running warm-up or start has ended
        try {
            if (engineThread.getState() == Thread.State.NEW) {
                engineThread.start(); // an engine that never ran must run to be shut down
            }
            return shutDown();
        } finally {
            lifecycleLock.unlock();
        }
    }

    private int shutDown() throws InterruptedException {
        LOG.info("gateway {}: shutting down, {} calls in flight", config.name(), engine.pendingCalls());
        awaitIterations(netty.acceptorGroup(), ACCEPT_ITERATIONS, "connections in the backlog may be reset");
        // first, so that clients move to other gateways while calls that they already sent are still accepted
        clientListener.startDraining();
        if (grpcListener != null) {
            grpcListener.startDraining();
        }
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_LINGER_MILLIS);
        awaitIterations(netty.ioGroup(), IO_ITERATIONS, "requests that were not read yet are rejected");
        int abortedCalls = shutDownEngine();
        awaitIterations(netty.ioGroup(), IO_ITERATIONS, "responses that were not written yet are lost");
        closeComponents();
        LOG.info("gateway {}: stopped, {} calls aborted", config.name(), abortedCalls);
        return abortedCalls;
    }

    private void awaitIterations(EventLoopGroup group, int iterations, String consequence) {
        if (!EventLoopIterations.await(group, iterations, ITERATIONS_TIMEOUT_MILLIS)) {
            LOG.warn("gateway {}: event loops are too slow, {}", config.name(), consequence);
        }
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

    private void closeComponents() throws InterruptedException {
        endpointSource.close();
        endpointSnapshot.close();
        journal.close();
        if (recording != null) {
            recording.close();
        }
        workerTransport.close();
        if (peerTransport != null) {
            peerTransport.close();
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

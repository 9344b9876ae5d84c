package wharfhinge.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.AccessLog;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.engine.PeerTransport;
import wharfhinge.engine.StepJournal;
import wharfhinge.gateway.front.CallIngress;
import wharfhinge.gateway.front.ClientListener;
import wharfhinge.gateway.front.StatusPage;
import wharfhinge.gateway.tls.CallAuthenticator;
import wharfhinge.gateway.upstream.HttpWorkerTransport;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;

/**
 * Warms up the JIT compiler: sends calls over loopback through a temporary listener, engine and transport to temporary workers, until calls
 * get no faster or the time limit is reached.
 *
 * <p>In a new process the first thousands of calls are about ten times slower. Under full load the gateway would reject calls and exceed
 * deadlines for seconds. The warm-up contacts no real worker, endpoint service or peer, writes no journal or capture, and doesn't change
 * the state of the real engine. It uses HTTP/1.1 without TLS; TLS, HTTP/2 from clients and gRPC are not warmed up.
 */
final class WarmUp {
    private static final int WORKERS = 3;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    /** The number of calls, the duration of the warm-up and the mean time per call in the fastest thousand calls. */
    record Result(long calls, long durationMillis, long fastestCallMicros) {
        static final Result SKIPPED = new Result(0, 0, 0);
    }

    private final GatewayConfig config;
    private final NettyResources netty;
    private final WarmUpProgress progress;

    private WarmUp(GatewayConfig config, NettyResources netty, WarmUpProgress progress) {
        this.config = config.onAnyPort();
        this.netty = netty;
        this.progress = progress;
    }

    /**
     * Warms up on the caller's thread. Doesn't close {@code netty}.
     *
     * @param maxNanos time limit; 0 skips the warm-up
     * @param stopped  ends the warm-up early once it returns true
     */
    static Result run(GatewayConfig config, long maxNanos, NettyResources netty, BooleanSupplier stopped)
            throws InterruptedException {
        if (maxNanos <= 0) {
            return Result.SKIPPED;
        }
        long startedAt = System.nanoTime();
        WarmUpProgress progress = new WarmUpProgress(startedAt + maxNanos, stopped);
        new WarmUp(config, netty, progress).run();
        long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
        return new Result(progress.calls(), durationMillis, progress.fastestCallMicros());
    }

    private void run() throws InterruptedException {
        List<WarmUpWorker> workers = new ArrayList<>();
        try (HttpWorkerTransport transport =
                new HttpWorkerTransport(config, netty.ioGroup(), netty.channelType(), System::nanoTime)) {
            for (int i = 0; i < WORKERS; i++) {
                workers.add(new WarmUpWorker(netty));
            }
            run(newEngine(transport), workers);
        } finally {
            workers.forEach(WarmUpWorker::close);
        }
    }

    private void run(DispatchEngine engine, List<WarmUpWorker> workers) throws InterruptedException {
        Thread engineThread = new Thread(engine, "warm-up");
        engineThread.setDaemon(true);
        engineThread.start();
        engine.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 1, endpoints(workers)));
        CallIngress ingress = new CallIngress(config, engine, new CallAuthenticator(null, false));
        ClientListener listener = new ClientListener(config, ingress, new StatusPage(Map::of), null);
        InetSocketAddress address = listener.listen(netty.acceptorGroup(), netty.ioGroup(), netty.serverChannelType());
        new WarmUpClients(config.dispatcherSettings().classes(), address.getPort(), progress).run();
        listener.startDraining();
        try {
            engine.shutdown(0).get(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            engineThread.interrupt(); // safe, since no client depends on this engine
        }
        listener.close();
        // the shutdown's future completes slightly before the thread ends
        engineThread.join(TimeUnit.SECONDS.toMillis(SHUTDOWN_TIMEOUT_SECONDS));
    }

    private DispatchEngine newEngine(HttpWorkerTransport transport) {
        return new DispatchEngine(
                Gateway.engineSettings(config),
                DispatcherFactory.CACHE_AWARE,
                transport,
                EndpointSource.pushedBy(updates -> {}),
                PeerTransport.NONE,
                StepJournal.NONE,
                AccessLog.NONE,
                System::nanoTime);
    }

    private List<RosterEntry> endpoints(List<WarmUpWorker> workers) {
        DispatcherSettings settings = config.dispatcherSettings();
        return workers.stream()
                .map(worker -> new RosterEntry(
                        worker.endpoint(),
                        settings.zone(),
                        settings.kinds().get(0),
                        0,
                        RosterEntry.State.UP,
                        1,
                        RosterEntry.UNKNOWN_AGE,
                        RosterEntry.NO_BOOT))
                .toList();
    }
}

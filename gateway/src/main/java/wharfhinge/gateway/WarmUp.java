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
 * Sends calls through a listener, an engine and connections of its own, on loopback, to workers of its own, until the JIT
 * compiler has what it needs or the time is over.
 *
 * <p>A new process runs its first thousands of calls some ten times slower; under full load it would reject and be late
 * for seconds. Nothing reaches a worker of the fleet, the endpoint service, a peer, a journal or a capture, and the real
 * engine learns nothing. Calls come over HTTP/1.1 without TLS: TLS, HTTP/2 and gRPC are not warmed up.
 */
final class WarmUp {
    private static final int WORKERS = 3;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    /** How many calls were sent, how long it took, and the time between two answers in the fastest thousand. */
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
     * Warms up on the caller's thread; {@code netty} stays the caller's.
     *
     * @param maxNanos bounds it; 0 skips it
     * @param stopped  ends it early
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
        List<WarmUpWorker> fleet = new ArrayList<>();
        try (HttpWorkerTransport transport =
                new HttpWorkerTransport(config, netty.ioGroup(), netty.channelType(), System::nanoTime)) {
            for (int i = 0; i < WORKERS; i++) {
                fleet.add(new WarmUpWorker(netty));
            }
            run(newEngine(transport), fleet);
        } finally {
            fleet.forEach(WarmUpWorker::close);
        }
    }

    private void run(DispatchEngine engine, List<WarmUpWorker> fleet) throws InterruptedException {
        Thread engineThread = new Thread(engine, "warm-up");
        engineThread.setDaemon(true);
        engineThread.start();
        engine.onEndpointUpdate(new EndpointUpdate(EndpointUpdateMode.FULL, 1, endpoints(fleet)));
        CallIngress intake = new CallIngress(config, engine, new CallAuthenticator(null, false));
        ClientListener listener = new ClientListener(config, intake, new StatusPage(Map::of), null);
        InetSocketAddress address = listener.listen(netty.acceptorGroup(), netty.ioGroup(), netty.serverChannelType());
        new WarmUpClients(config.dispatcherSettings().classes(), address.getPort(), progress).run();
        listener.startDraining();
        try {
            engine.shutdown(0).get(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            engineThread.interrupt(); // it serves nobody
        }
        listener.close();
        // the shutdown completes before the thread's last step
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

    private List<RosterEntry> endpoints(List<WarmUpWorker> fleet) {
        DispatcherSettings settings = config.dispatcherSettings();
        return fleet.stream()
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

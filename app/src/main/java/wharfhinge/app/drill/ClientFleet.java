package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import wharfhinge.client.Call;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.client.core.ClientPolicy;
import wharfhinge.client.grpc.GrpcTransport;
import wharfhinge.client.http.HttpTransport;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoadClients.CallClass;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.PackageStoreEmulator;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerEmulator;
import wharfhinge.standin.WorkerModel;

/** Gateways in processes of their own, with emulated workers behind them, called through the client libraries. */
final class ClientFleet implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 500;

    /** How the calls through one client library ended. */
    record CallCounts(String library, Map<String, Long> byKind, long attempts, long slowestMillis) {
        long of(String kind) {
            return byKind.getOrDefault(kind, 0L);
        }

        long all() {
            return byKind.values().stream().mapToLong(Long::longValue).sum();
        }
    }

    private final Scenario scenario;
    private final Path folder;
    private final Trace trace = new Trace(System::nanoTime);
    private final EventLoopGroup group = LoopbackServers.group(4);
    private final EndpointServiceEmulator roster;
    private final PackageStoreEmulator store;
    private final List<WorkerEmulator> workers = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final List<Path> settingsFiles = new ArrayList<>();
    private final List<String> httpAddresses = new ArrayList<>();
    private final List<String> grpcAddresses = new ArrayList<>();

    /** Prepares a fleet; {@code extraSettings} is inserted into the settings of each gateway. */
    ClientFleet(Scenario scenario, Path folder, String extraSettings) throws IOException, InterruptedException {
        this.scenario = scenario;
        this.folder = Files.createDirectories(folder);
        roster = new EndpointServiceEmulator(group, 0, scenario.roster().lagMillis(), trace);
        store = new PackageStoreEmulator(
                group, 0, scenario.store().fullSpeedFetches(), scenario.store().maxFetches(), trace);
        HttpCaller storeClient = new HttpCaller(group, store.port());
        for (int i = 0; i < scenario.workers().count(); i++) {
            WorkerModel.Spec spec = scenario.worker(i, false);
            WorkerEmulator worker = new WorkerEmulator(group, 0, spec, storeClient, trace);
            workers.add(worker);
            roster.report(new RosterEntry(
                    worker.id(),
                    spec.zone(),
                    spec.kind(),
                    spec.cell(),
                    State.UP,
                    spec.cores(),
                    2 * spec.slowStartMillis(),
                    worker.model().boot()));
        }
        FreePorts ports = new FreePorts();
        for (int i = 0; i < scenario.gateways(); i++) {
            int port = ports.take();
            int grpcPort = ports.take();
            Path file = GatewaySettings.write(folder, scenario, i, port, roster.port(), false);
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("<clients ", "<clients reuse-port=\"true\" ")
                            .replace("<log ", extraSettings + "<grpc port=\"" + grpcPort + "\"/>\n  <log "));
            settingsFiles.add(file);
            httpAddresses.add("127.0.0.1:" + port);
            grpcAddresses.add("127.0.0.1:" + grpcPort);
            gateways.add(new GatewayProcess("gw" + i, port, file, null, trace));
        }
    }

    void start() throws IOException, InterruptedException {
        GatewayProcess.startAll(gateways);
        Thread.sleep(500);
    }

    /**
     * Calls through both libraries, each at half of the scenario's rate; with {@code restart} replaces every gateway in turn meanwhile.
     * Returns how the calls ended, by library.
     */
    List<CallCounts> callThroughBothLibraries(double seconds, boolean restart) throws Exception {
        List<CallCounts> counts = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (String library : List.of("http", "grpc")) {
            Thread thread = new Thread(
                    () -> {
                        CallCounts libraryCounts = load(library, seconds);
                        synchronized (counts) {
                            counts.add(libraryCounts);
                        }
                    },
                    "load-" + library);
            thread.start();
            threads.add(thread);
        }
        for (int i = 0; restart && i < gateways.size(); i++) {
            Thread.sleep((long) (seconds * 1000 / (gateways.size() + 1)));
            GatewayProcess oldProcess = gateways.get(i);
            GatewayProcess newProcess =
                    new GatewayProcess("gw" + i, oldProcess.port(), settingsFiles.get(i), null, trace);
            newProcess.start();
            Thread.sleep(500); // until it has received the endpoint list
            gateways.set(i, newProcess);
            oldProcess.stop();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return counts;
    }

    /** Sends one call and reports its end once. */
    interface Caller {
        /** {@code tenant} may be null. */
        void call(String function, CallClass callClass, String tenant, Consumer<CallOutcome> onEnd);
    }

    /** How a call ended, in a word, and how many attempts it took. */
    record CallOutcome(String kind, int attempts) {}

    /** A call that ended; {@code tookMillis} counts from the time at which it was due. */
    record CompletedCall(long dueMillis, CallClass callClass, String tenant, CallOutcome outcome, long tookMillis) {
        boolean inTime() {
            return outcome.kind.equals("served") && tookMillis <= callClass.objectiveMillis();
        }
    }

    static Caller caller(WharfhingeClient client) {
        return (function, callClass, tenant, onEnd) -> {
            Duration deadline = Duration.ofMillis(callClass.deadlineMillis());
            Call.Builder call = callClass.effect().equals("idempotent")
                    ? Call.safe(function, callClass.name(), deadline)
                    : Call.once(function, callClass.name(), deadline);
            client.call(call.tenant(tenant)
                            .copy(callClass.memoryMb(), callClass.lanes(), callClass.loadMillis())
                            .costUs((long) (callClass.workMillis() * 1000))
                            .build())
                    .thenAccept(r -> onEnd.accept(
                            new CallOutcome(r.getClass().getSimpleName().toLowerCase(Locale.ROOT), r.attempts())));
        };
    }

    WharfhingeClient client(String library) {
        return library.equals("http")
                ? new WharfhingeClient(
                        new HttpTransport(Duration.ofMillis(CONNECT_TIMEOUT_MS), 8, 1 << 20, null, null),
                        ClientPolicy.DEFAULT,
                        httpAddresses)
                : new WharfhingeClient(
                        new GrpcTransport(Duration.ofMillis(CONNECT_TIMEOUT_MS), 1 << 20, null, null),
                        ClientPolicy.DEFAULT,
                        grpcAddresses);
    }

    /** Counts over all workers: copies, functions that have a copy, and loads begun since the start. */
    int[] copies() {
        Map<String, Integer> all = new LinkedHashMap<>();
        workers.forEach(
                w -> w.model().loadedCopies().forEach((function, count) -> all.merge(function, count, Integer::sum)));
        return new int[] {
            all.values().stream().mapToInt(Integer::intValue).sum(),
            (int) all.values().stream().filter(n -> n > 0).count(),
            workers.stream().mapToInt(w -> w.model().loadsBegun()).sum()
        };
    }

    /** HTTP ports of the gateways. */
    List<Integer> ports() {
        return gateways.stream().map(GatewayProcess::port).toList();
    }

    /** Calls at a rate that is a function of the seconds since the start; waits for the last answers. */
    List<CompletedCall> load(Caller caller, String tenant, double seconds, DoubleUnaryOperator callsPerSecond) {
        List<CompletedCall> all = Collections.synchronizedList(new ArrayList<>());
        LongAdder open = new LongAdder();
        List<CallClass> classes = scenario.offeredTraffic().classes();
        Random random = new Random(scenario.seed());
        long startNanos = System.nanoTime();
        double atSeconds = 0;
        while (atSeconds < seconds) {
            long dueNanos = startNanos + (long) (atSeconds * 1e9);
            while (System.nanoTime() < dueNanos) {
                LockSupport.parkNanos(Math.max(1, dueNanos - System.nanoTime()));
            }
            CallClass callClass = random.nextDouble() < classes.get(0).share() ? classes.get(0) : classes.get(1);
            String function = "f"
                    + (int) (Math.pow(random.nextDouble(), 2)
                            * scenario.offeredTraffic().functions());
            long dueMillis = (long) (atSeconds * 1000);
            open.increment();
            caller.call(function, callClass, tenant, outcome -> {
                all.add(new CompletedCall(
                        dueMillis, callClass, tenant, outcome, (System.nanoTime() - dueNanos) / 1_000_000));
                open.decrement();
            });
            atSeconds += 1 / callsPerSecond.applyAsDouble(atSeconds);
        }
        for (int polls = 0; open.sum() > 0 && polls < 900; polls++) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        return all;
    }

    private CallCounts load(String library, double seconds) {
        WharfhingeClient client = client(library);
        List<CompletedCall> all = load(
                caller(client), null, seconds, s -> scenario.offeredTraffic().callsPerSecond() / 2);
        Map<String, Long> byKind = new LinkedHashMap<>();
        all.forEach(e -> byKind.merge(e.outcome.kind, 1L, Long::sum));
        try {
            client.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new CallCounts(
                library,
                byKind,
                all.stream().mapToLong(e -> e.outcome.attempts).sum(),
                all.stream().mapToLong(CompletedCall::tookMillis).max().orElse(0));
    }

    @Override
    public void close() throws InterruptedException {
        GatewayProcess.stopAll(gateways);
        workers.forEach(WorkerEmulator::close);
        roster.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
    }
}

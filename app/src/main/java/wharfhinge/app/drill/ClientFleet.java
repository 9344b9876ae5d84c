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
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoadClients.CallClass;
import wharfhinge.standin.Net;
import wharfhinge.standin.RosterStandIn;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.StoreStandIn;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerModel;
import wharfhinge.standin.WorkerStandIn;

/** Gateways in processes of their own before scripted workers, called through the client libraries. */
final class ClientFleet implements AutoCloseable {
    private static final int CONNECT_MS = 500;

    /** What became of the calls of one library. */
    record Ends(String library, Map<String, Long> byKind, long tries, long slowestMillis) {
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
    private final EventLoopGroup group = Net.group(4);
    private final RosterStandIn roster;
    private final StoreStandIn store;
    private final List<WorkerStandIn> workers = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final List<Path> settings = new ArrayList<>();
    private final List<String> http = new ArrayList<>();
    private final List<String> grpc = new ArrayList<>();

    /** {@code more} goes into each gateway's settings. */
    ClientFleet(Scenario scenario, Path folder, String more) throws IOException, InterruptedException {
        this.scenario = scenario;
        this.folder = Files.createDirectories(folder);
        roster = new RosterStandIn(group, 0, scenario.roster().lagMillis(), trace);
        store = new StoreStandIn(
                group, 0, scenario.store().fullPace(), scenario.store().most(), trace);
        HttpCaller fetches = new HttpCaller(group, store.port());
        for (int i = 0; i < scenario.workers().count(); i++) {
            WorkerModel.Spec spec = scenario.worker(i, false);
            WorkerStandIn worker = new WorkerStandIn(group, 0, spec, fetches, trace);
            workers.add(worker);
            roster.report(new RosterEntry(
                    worker.id(),
                    spec.zone(),
                    spec.kind(),
                    spec.cell(),
                    State.UP,
                    spec.cores(),
                    2 * spec.coldMillis(),
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
                            .replace("<log ", more + "<grpc port=\"" + grpcPort + "\"/>\n  <log "));
            settings.add(file);
            http.add("127.0.0.1:" + port);
            grpc.add("127.0.0.1:" + grpcPort);
            gateways.add(new GatewayProcess("gw" + i, port, file, null, trace));
        }
    }

    void start() throws IOException, InterruptedException {
        GatewayProcess.startAll(gateways);
        Thread.sleep(500);
    }

    /** Calls for so long through each library, half of the scenario's rate each; restarts every gateway in turn, or none. */
    List<Ends> play(double seconds, boolean restart) throws Exception {
        List<Ends> ends = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (String library : List.of("http", "grpc")) {
            Thread thread = new Thread(
                    () -> {
                        Ends got = load(library, seconds);
                        synchronized (ends) {
                            ends.add(got);
                        }
                    },
                    "load-" + library);
            thread.start();
            threads.add(thread);
        }
        for (int i = 0; restart && i < gateways.size(); i++) {
            Thread.sleep((long) (seconds * 1000 / (gateways.size() + 1)));
            GatewayProcess old = gateways.get(i);
            GatewayProcess fresh = new GatewayProcess("gw" + i, old.port(), settings.get(i), null, trace);
            fresh.start();
            Thread.sleep(500); // it has its list
            gateways.set(i, fresh);
            old.stop();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return ends;
    }

    /** A caller of one call: tells once what became of it. */
    interface Caller {
        /** {@code tenant} may be null. */
        void call(String function, CallClass type, String tenant, Consumer<Answer> ended);
    }

    /** What became of a call, in a word, and how many tries it took. */
    record Answer(String kind, int tries) {}

    /** One call that ended; {@code tookMs} counts from when it was due. */
    record Ended(long dueMillis, CallClass type, String tenant, Answer answer, long tookMillis) {
        boolean inTime() {
            return answer.kind.equals("served") && tookMillis <= type.aimMillis();
        }
    }

    static Caller caller(WharfhingeClient client) {
        return (function, type, tenant, ended) -> {
            Duration deadline = Duration.ofMillis(type.giveUpMillis());
            Call.Builder call = type.effect().equals("idempotent")
                    ? Call.safe(function, type.name(), deadline)
                    : Call.once(function, type.name(), deadline);
            client.call(call.tenant(tenant)
                            .copy(type.memoryMb(), type.lanes(), type.loadMillis())
                            .costUs((long) (type.workMillis() * 1000))
                            .build())
                    .thenAccept(r -> ended.accept(
                            new Answer(r.getClass().getSimpleName().toLowerCase(Locale.ROOT), r.attempts())));
        };
    }

    WharfhingeClient client(String library) {
        return library.equals("http")
                ? new WharfhingeClient(
                        new HttpTransport(Duration.ofMillis(CONNECT_MS), 8, 1 << 20, null, null),
                        ClientPolicy.DEFAULT,
                        http)
                : new WharfhingeClient(
                        new GrpcTransport(Duration.ofMillis(CONNECT_MS), 1 << 20, null, null),
                        ClientPolicy.DEFAULT,
                        grpc);
    }

    /** Copies that stand, functions with one, and loads begun since the start. */
    int[] copies() {
        Map<String, Integer> all = new LinkedHashMap<>();
        workers.forEach(w -> w.model().held().forEach((function, count) -> all.merge(function, count, Integer::sum)));
        return new int[] {
            all.values().stream().mapToInt(Integer::intValue).sum(),
            (int) all.values().stream().filter(n -> n > 0).count(),
            workers.stream().mapToInt(w -> w.model().loadsBegun()).sum()
        };
    }

    /** Ports of the gateways over HTTP. */
    List<Integer> ports() {
        return gateways.stream().map(GatewayProcess::port).toList();
    }

    /** Calls at a rate that may change with the second since the start; waits for the last answers. */
    List<Ended> load(Caller caller, String tenant, double seconds, DoubleUnaryOperator perS) {
        List<Ended> all = Collections.synchronizedList(new ArrayList<>());
        LongAdder open = new LongAdder();
        List<CallClass> classes = scenario.offered().classes();
        Random random = new Random(scenario.seed());
        long begin = System.nanoTime();
        double at = 0;
        while (at < seconds) {
            long due = begin + (long) (at * 1e9);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(Math.max(1, due - System.nanoTime()));
            }
            CallClass type = random.nextDouble() < classes.get(0).share() ? classes.get(0) : classes.get(1);
            String function = "f"
                    + (int) (Math.pow(random.nextDouble(), 2)
                            * scenario.offered().functions());
            long dueMillis = (long) (at * 1000);
            open.increment();
            caller.call(function, type, tenant, answer -> {
                all.add(new Ended(dueMillis, type, tenant, answer, (System.nanoTime() - due) / 1_000_000));
                open.decrement();
            });
            at += 1 / perS.applyAsDouble(at);
        }
        for (int waits = 0; open.sum() > 0 && waits < 900; waits++) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
        return all;
    }

    private Ends load(String library, double seconds) {
        WharfhingeClient client = client(library);
        List<Ended> all =
                load(caller(client), null, seconds, s -> scenario.offered().perS() / 2);
        Map<String, Long> byKind = new LinkedHashMap<>();
        all.forEach(e -> byKind.merge(e.answer.kind, 1L, Long::sum));
        try {
            client.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Ends(
                library,
                byKind,
                all.stream().mapToLong(e -> e.answer.tries).sum(),
                all.stream().mapToLong(Ended::tookMillis).max().orElse(0));
    }

    @Override
    public void close() throws InterruptedException {
        GatewayProcess.stopAll(gateways);
        workers.forEach(WorkerStandIn::close);
        roster.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
    }
}

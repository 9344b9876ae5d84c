package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterEntry.State;
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoadClients;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.PackageStoreEmulator;
import wharfhinge.standin.RecorderStallWatch;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Scenario.InjectedFault;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerEmulator;
import wharfhinge.standin.WorkerModel;
import wharfhinge.standin.judge.MemoryAccountingVerifier;
import wharfhinge.standin.judge.TraceVerifier;

/**
 * Runs a scenario with gateways, and real workers, in processes of their own and everything else in this one. The trace verifier then
 * checks the rules.
 */
final class DrillRun implements AutoCloseable {
    private final Scenario scenario;
    private final Path folder;
    private final Trace trace = new Trace(System::nanoTime);
    private final EventLoopGroup group = LoopbackServers.group(4);
    private final Random random;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(8);
    private final List<DrillWorker> workers = new ArrayList<>();
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private final EndpointServiceEmulator roster;
    private final PackageStoreEmulator store;
    private final WorkerProcessFleet workerProcesses;
    private final List<String> unsupportedFaults = new ArrayList<>();
    private MemoryAccountingVerifier memoryJudge;
    private LoadClients clients;

    DrillRun(Scenario scenario, Mutant mutant, Path folder) throws IOException, InterruptedException {
        this(scenario, mutant, folder, false);
    }

    /** Prepares a run; with {@code capture} each gateway writes a capture into the folder. */
    DrillRun(Scenario scenario, Mutant mutant, Path folder, boolean capture) throws IOException, InterruptedException {
        this.scenario = scenario;
        this.folder = folder;
        this.random = new Random(scenario.seed());
        roster = new EndpointServiceEmulator(group, 0, 0, trace);
        store = new PackageStoreEmulator(
                group, 0, scenario.store().fullSpeedFetches(), scenario.store().maxFetches(), trace);
        workerProcesses = scenario.workers().real() ? new WorkerProcessFleet(group, scenario, folder, trace) : null;
        if (workerProcesses != null) {
            workers.addAll(workerProcesses.start());
        } else {
            HttpCaller storeClient = new HttpCaller(group, store.port());
            for (int i = 0; i < scenario.workers().count(); i++) {
                workers.add(new EmulatedWorker(
                        new WorkerEmulator(group, 0, scenario.worker(i, false), storeClient, trace)));
            }
        }
        for (int i = 0; i < workers.size(); i++) {
            reportState(i, State.UP, false);
        }
        FreePorts ports = new FreePorts();
        for (int i = 0; i < scenario.gateways(); i++) {
            int port = ports.take();
            Path config = GatewaySettings.write(folder, scenario, i, port, roster.port(), capture);
            gateways.add(new GatewayProcess("gw" + i, port, config, mutant, trace));
        }
    }

    /** Runs the scenario to its end and checks the rules on its trace. */
    TraceVerifier.VerificationResult run() throws IOException, InterruptedException {
        GatewayProcess.startAll(gateways);
        Thread.sleep(500);
        roster.setLagMillis(scenario.roster().lagMillis());
        Map<String, Integer> ports = new LinkedHashMap<>();
        gateways.forEach(gateway -> ports.put(gateway.name(), gateway.port()));
        clients = new LoadClients(group, ports, scenario.offeredTraffic(), scenario.seed(), trace);
        scenario.troubles().forEach(this::plan);
        MemorySampler memorySampler =
                workerProcesses == null ? null : new MemorySampler(group, workerProcesses.processes());
        RecorderStallWatch standstillWatch = new RecorderStallWatch(group, trace);
        clients.start(scenario.seconds());
        Thread.sleep((long) (scenario.seconds() * 1000));
        long maxDeadlineMillis = scenario.offeredTraffic().classes().stream()
                .mapToLong(LoadClients.CallClass::deadlineMillis)
                .max()
                .orElse(0);
        for (long waitedMillis = 0; clients.open() > 0 && waitedMillis < maxDeadlineMillis + 500; waitedMillis += 50) {
            Thread.sleep(50);
        }
        scheduler.shutdownNow();
        Thread.sleep(200);
        standstillWatch.close();
        if (workerProcesses != null) {
            memoryJudge = memorySampler.stop();
            workerProcesses.stop();
            for (WorkerProcess worker : workerProcesses.processes()) {
                trace.addAll(worker.events());
            }
        }
        for (GatewayProcess gateway : gateways) {
            trace.addAll(gateway.processorWaitLines());
        }
        trace.write(folder.resolve("trace.tsv"));
        return TraceVerifier.verify(scenario.verifierRules(), trace.lines());
    }

    /** The check of the memory accounting of the workers, or null if the workers are emulated. */
    MemoryAccountingVerifier memoryJudge() {
        return memoryJudge;
    }

    /** Names of the scenario's faults that were left out because these workers do not support them. */
    List<String> unsupportedFaults() {
        return unsupportedFaults;
    }

    /** The metrics of all gateways, added up; to be called after the run. */
    Map<String, Long> gatewayMetrics() throws IOException {
        Map<String, Long> all = new LinkedHashMap<>();
        for (GatewayProcess gateway : gateways) {
            try (InputStream in = URI.create("http://127.0.0.1:" + gateway.port() + "/v1/status")
                    .toURL()
                    .openStream()) {
                new String(in.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .map(l -> l.split(" "))
                        .forEach(f -> all.merge(f[0], Long.parseLong(f[1]), Long::sum));
            }
        }
        return all;
    }

    private void reportState(int workerIndex, State state, boolean justStarted) {
        DrillWorker worker = workers.get(workerIndex);
        WorkerModel.Spec spec = scenario.worker(workerIndex, false);
        long ageMillis = justStarted ? 0 : 2 * spec.slowStartMillis();
        roster.report(new RosterEntry(
                worker.id(),
                spec.zone(),
                spec.kind(),
                spec.cell(),
                state,
                spec.cores(),
                ageMillis,
                worker.incarnation()));
    }

    // ---- Injected faults ---------------------------------------------------------------------------

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private interface Toggle {
        void set(boolean on) throws IOException, InterruptedException;
    }

    private interface WorkerAction {
        void apply(DrillWorker worker) throws IOException, InterruptedException;
    }

    private static void applyToAll(List<DrillWorker> targets, WorkerAction action)
            throws IOException, InterruptedException {
        for (DrillWorker worker : targets) {
            action.apply(worker);
        }
    }

    private void schedule(double seconds, Action action) {
        scheduler.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (IOException e) {
                        System.err.println("fault injection failed: " + e.getMessage());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                (long) (seconds * 1000),
                TimeUnit.MILLISECONDS);
    }

    private void scheduleSpan(InjectedFault fault, Action begin, Action end) {
        schedule(fault.at(), begin);
        schedule(fault.at() + fault.length(), end);
    }

    /** Draws the workers that a fault affects, by the seed of the scenario. */
    private List<Integer> drawWorkers(InjectedFault fault) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) {
            all.add(i);
        }
        Collections.shuffle(all, random);
        return all.subList(0, Math.min(all.size(), (int) Math.ceil(fault.part() * all.size())));
    }

    private void plan(InjectedFault fault) {
        List<DrillWorker> affected =
                drawWorkers(fault).stream().map(workers::get).toList();
        if (workerProcesses != null && !workers.get(0).supports(fault.name())) {
            unsupportedFaults.add(fault.name());
            return;
        }
        switch (fault.name()) {
            case "hang" -> scheduleSpan(
                    fault,
                    () -> applyToAll(affected, worker -> worker.hang(true)),
                    () -> applyToAll(affected, worker -> worker.hang(false)));
            case "fast_errors" -> scheduleSpan(
                    fault,
                    () -> applyToAll(affected, worker -> worker.failCalls(fault.size())),
                    () -> applyToAll(affected, worker -> worker.failCalls(0)));
            case "answer_lost" -> scheduleSpan(
                    fault,
                    () -> applyToAll(affected, worker -> worker.loseAnswers(fault.size(), fault.extra() > 0)),
                    () -> applyToAll(affected, worker -> worker.loseAnswers(0, false)));
            case "slow" -> scheduleSpan(
                    fault,
                    () -> applyToAll(affected, worker -> worker.slowDown(fault.size())),
                    () -> applyToAll(affected, worker -> worker.slowDown(1)));
            case "neighbour" -> onAndOff(
                    fault, on -> applyToAll(affected, worker -> worker.slowDown(on ? 1 / (1 - fault.size()) : 1)));
            case "pauses" -> onAndOff(fault, on -> {
                if (on) {
                    applyToAll(affected, worker -> worker.pause((long) fault.size()));
                }
            });
            case "handshake_slow" -> scheduleSpan(
                    fault,
                    () -> applyToAll(affected, worker -> worker.slowHandshakes((long) fault.size())),
                    () -> applyToAll(affected, worker -> worker.slowHandshakes(0)));
            case "flush" -> schedule(
                    fault.at(), () -> applyToAll(workers, worker -> worker.invalidateFunctions(fault.size())));
            case "burst", "overload" -> scheduleSpan(fault, () -> clients.rate(fault.size()), () -> clients.rate(1));
            case "hot_key" -> scheduleSpan(
                    fault, () -> clients.hot(fault.size(), (int) fault.extra()), () -> clients.hot(0, 1));
            case "scan" -> scheduleSpan(fault, () -> clients.scan(fault.size()), () -> clients.scan(0));
            case "heavy_tail" -> scheduleSpan(
                    fault, () -> clients.heavy(fault.part(), fault.size()), () -> clients.heavy(0, 1));
            case "give_up" -> scheduleSpan(
                    fault, () -> clients.cancelEarly(fault.size()), () -> clients.cancelEarly(0));
            case "shift" -> schedule(fault.at(), () -> clients.preferFirstGateway(fault.size()));
            case "discovery_stale" -> scheduleSpan(
                    fault,
                    () -> roster.setLagMillis(scenario.roster().lagMillis() + (long) (fault.size() * 1000)),
                    () -> roster.setLagMillis(scenario.roster().lagMillis()));
            case "roster_lost" -> scheduleSpan(
                    fault, () -> roster.setUnreachable(true), () -> roster.setUnreachable(false));
            case "roster_silent" -> scheduleSpan(fault, () -> roster.silence(true), () -> roster.silence(false));
            case "store_shut" -> scheduleSpan(fault, () -> setStoreShut(true), () -> setStoreShut(false));
            case "drain" -> drawWorkers(fault).forEach(i -> drain(fault, i));
            case "restart" -> drawWorkers(fault).forEach(i -> restart(fault.at(), fault.length(), i));
            case "balancer_roll" -> restartGateways(fault);
            case "balancer_stall" -> gateways.stream()
                    .limit((long) Math.ceil(fault.part() * gateways.size()))
                    .forEach(gateway -> scheduleSpan(fault, () -> gateway.stall(true), () -> gateway.stall(false)));
            default -> throw new IllegalArgumentException("unknown fault " + fault.name());
        }
    }

    private void onAndOff(InjectedFault fault, Toggle toggle) {
        boolean on = true;
        for (double offsetSeconds = 0; offsetSeconds < fault.length(); offsetSeconds += fault.extra()) {
            boolean value = on;
            schedule(fault.at() + offsetSeconds, () -> toggle.set(value));
            on = !on;
        }
        schedule(fault.at() + fault.length(), () -> toggle.set(false));
    }

    private void setStoreShut(boolean shut) {
        if (workerProcesses != null) {
            workerProcesses.shut(shut);
        } else {
            store.setUnavailable(shut);
        }
    }

    private void drain(InjectedFault fault, int workerIndex) {
        schedule(fault.at(), () -> reportState(workerIndex, State.DRAINING, false));
        restart(fault.at() + fault.length(), fault.extra(), workerIndex);
    }

    private void restart(double atSeconds, double downSeconds, int workerIndex) {
        schedule(atSeconds, () -> {
            workers.get(workerIndex).kill();
            reportState(workerIndex, State.GONE, false);
        });
        schedule(atSeconds + downSeconds, () -> {
            workers.get(workerIndex).restart();
            reportState(workerIndex, State.UP, true);
        });
    }

    private void restartGateways(InjectedFault fault) {
        int index = 0;
        for (GatewayProcess gateway : gateways.subList(0, (int) Math.ceil(fault.part() * gateways.size()))) {
            schedule(fault.at() + index++ * fault.length(), () -> {
                gateway.kill();
                Thread.sleep((long) (fault.size() * 1000));
                gateway.start();
            });
        }
    }

    @Override
    public void close() throws InterruptedException {
        scheduler.shutdownNow();
        if (clients != null) {
            clients.close();
        }
        GatewayProcess.stopAll(gateways);
        for (DrillWorker worker : workers) {
            worker.close();
        }
        if (workerProcesses != null) {
            workerProcesses.close();
        }
        roster.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2000);
    }
}

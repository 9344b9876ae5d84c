package wharfhinge.app;

import io.netty.channel.EventLoopGroup;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.drill.Scenarios;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.PackageStoreEmulator;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerEmulator;

/** The command {@code stand-in}: runs emulators, against which a gateway can be tried by hand. */
@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs emulators of workers, package store and endpoint service on loopback until stopped.",
        synopsisSubcommandLabel = "KIND",
        subcommands = {
            StandInCommand.Fleet.class,
            StandInCommand.Worker.class,
            StandInCommand.Roster.class,
            StandInCommand.Store.class
        })
final class StandInCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "missing kind of emulator: fleet, worker, roster or store");
    }

    private static int untilStopped() throws InterruptedException {
        new CountDownLatch(1).await();
        return Program.OK;
    }

    private static List<WorkerEmulator> workers(
            Scenario scenario, EventLoopGroup group, int firstPort, int count, int storePort, Trace trace) {
        List<WorkerEmulator> workers = new ArrayList<>();
        HttpCaller storeClient = new HttpCaller(group, storePort);
        for (int i = 0; i < count; i++) {
            workers.add(new WorkerEmulator(
                    group, firstPort == 0 ? 0 : firstPort + i, scenario.worker(i, false), storeClient, trace));
            System.out.println("worker " + workers.get(i).id());
        }
        return workers;
    }

    private static void reportWorker(
            EndpointServiceEmulator roster, String worker, Scenario scenario, int workerIndex) {
        var workerSpec = scenario.worker(workerIndex, false);
        roster.report(new RosterEntry(
                worker,
                workerSpec.zone(),
                workerSpec.kind(),
                workerSpec.cell(),
                RosterEntry.State.UP,
                workerSpec.cores(),
                2 * workerSpec.slowStartMillis(),
                "b0"));
    }

    /** The command {@code stand-in fleet}: a package store, workers and the endpoint service that lists them. */
    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Emulates a package store, workers and the endpoint service that lists them.")
    static final class Fleet implements Callable<Integer> {
        @Option(
                names = "--scenario",
                paramLabel = "FILE",
                description = "Scenario that describes the fleet, XML file; bad-day if left out.")
        private Path scenarioFile;

        @Option(
                names = "--port",
                defaultValue = "8500",
                description = "Port of the endpoint service; the package store takes the next port, "
                        + "the workers those after it. Default ${DEFAULT-VALUE}.")
        private int port;

        @Override
        public Integer call() throws Exception {
            Scenario scenario = Scenarios.load(scenarioFile, "bad-day");
            Trace trace = new Trace(System::nanoTime);
            EventLoopGroup group = LoopbackServers.group(4);
            EndpointServiceEmulator roster =
                    new EndpointServiceEmulator(group, port, scenario.roster().lagMillis(), trace);
            PackageStoreEmulator store = new PackageStoreEmulator(
                    group,
                    port + 1,
                    scenario.store().fullSpeedFetches(),
                    scenario.store().maxFetches(),
                    trace);
            List<WorkerEmulator> workers =
                    workers(scenario, group, port + 2, scenario.workers().count(), store.port(), trace);
            for (int i = 0; i < workers.size(); i++) {
                reportWorker(roster, workers.get(i).id(), scenario, i);
            }
            System.out.println("roster http://127.0.0.1:" + roster.port());
            return untilStopped();
        }
    }

    /** The command {@code stand-in worker}. */
    @Command(
            name = "worker",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Emulates workers.")
    static final class Worker implements Callable<Integer> {
        @Option(
                names = "--scenario",
                paramLabel = "FILE",
                description = "Scenario that describes the fleet, XML file; bad-day if left out.")
        private Path scenarioFile;

        @Option(
                names = "--port",
                required = true,
                description = "Port of the first worker; the others take the next ones. 0 takes free ports.")
        private int port;

        @Option(names = "--count", defaultValue = "1", description = "Number of workers. Default ${DEFAULT-VALUE}.")
        private int count;

        @Option(names = "--store-port", required = true, description = "Port of the package store on loopback.")
        private int store;

        @Override
        public Integer call() throws Exception {
            workers(
                    Scenarios.load(scenarioFile, "bad-day"),
                    LoopbackServers.group(4),
                    port,
                    count,
                    store,
                    new Trace(System::nanoTime));
            return untilStopped();
        }
    }

    /** The command {@code stand-in roster}. */
    @Command(
            name = "roster",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Emulates an endpoint service that lists the given workers.")
    static final class Roster implements Callable<Integer> {
        @Option(names = "--port", required = true, description = "Port of the endpoint service.")
        private int port;

        @Option(
                names = "--lag-ms",
                defaultValue = "300",
                description = "Delay of its endpoint updates, in milliseconds. Default ${DEFAULT-VALUE}.")
        private long lag;

        @Option(
                names = "--worker",
                required = true,
                paramLabel = "ADDRESS:PORT",
                description = "Address of a worker; may be repeated.")
        private List<String> workers;

        @Override
        public Integer call() throws Exception {
            EndpointServiceEmulator roster =
                    new EndpointServiceEmulator(LoopbackServers.group(1), port, lag, new Trace(System::nanoTime));
            Scenario scenario = Scenarios.load(null, "bad-day");
            for (int i = 0; i < workers.size(); i++) {
                reportWorker(roster, workers.get(i), scenario, i);
            }
            System.out.println("roster http://127.0.0.1:" + roster.port());
            return untilStopped();
        }
    }

    /** The command {@code stand-in store}. */
    @Command(
            name = "store",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Emulates a package store that slows down under load and rejects fetches beyond its limit.")
    static final class Store implements Callable<Integer> {
        @Option(names = "--port", required = true, description = "Port of the package store.")
        private int port;

        @Option(
                names = "--full-pace",
                defaultValue = "8",
                description = "Concurrent fetches up to which it does not slow down. Default ${DEFAULT-VALUE}.")
        private int fullPace;

        @Option(
                names = "--most",
                defaultValue = "32",
                description = "Limit of concurrent fetches. Default ${DEFAULT-VALUE}.")
        private int most;

        @Override
        public Integer call() throws InterruptedException {
            PackageStoreEmulator store = new PackageStoreEmulator(
                    LoopbackServers.group(1), port, fullPace, most, new Trace(System::nanoTime));
            System.out.println("store http://127.0.0.1:" + store.port());
            return untilStopped();
        }
    }
}

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
import wharfhinge.standin.HttpCaller;
import wharfhinge.standin.Net;
import wharfhinge.standin.RosterStandIn;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.StoreStandIn;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerStandIn;

/** Runs stand-ins to try a gateway against by hand. */
@Command(
        name = "stand-in",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs scripted peers on loopback until stopped.",
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
        throw new CommandLine.ParameterException(spec.commandLine(), "a kind of stand-in is needed");
    }

    private static int untilStopped() throws InterruptedException {
        new CountDownLatch(1).await();
        return Program.OK;
    }

    private static List<WorkerStandIn> workers(
            Scenario scenario, EventLoopGroup group, int first, int count, int store, Trace trace) {
        List<WorkerStandIn> workers = new ArrayList<>();
        HttpCaller fetches = new HttpCaller(group, store);
        for (int i = 0; i < count; i++) {
            workers.add(
                    new WorkerStandIn(group, first == 0 ? 0 : first + i, scenario.worker(i, false), fetches, trace));
            System.out.println("worker " + workers.get(i).id());
        }
        return workers;
    }

    private static void list(RosterStandIn roster, String worker, Scenario scenario, int i) {
        var spec = scenario.worker(i, false);
        roster.report(new RosterEntry(
                worker,
                spec.zone(),
                spec.kind(),
                spec.cell(),
                RosterEntry.State.UP,
                spec.cores(),
                2 * spec.coldMillis(),
                "b0"));
    }

    /** Store, workers and the roster that lists them. */
    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "A store, workers and a roster that lists them.")
    static final class Fleet implements Callable<Integer> {
        @Option(
                names = "--scenario",
                paramLabel = "FILE",
                description = "Figures of the fleet; the bad day's if left out.")
        private Path scenario;

        @Option(
                names = "--port",
                defaultValue = "8500",
                description = "The roster's port; the store has the next one, "
                        + "the workers those that follow. Default ${DEFAULT-VALUE}.")
        private int port;

        @Override
        public Integer call() throws Exception {
            Scenario day = Scenarios.load(scenario, "bad-day");
            Trace trace = new Trace(System::nanoTime);
            EventLoopGroup group = Net.group(4);
            RosterStandIn roster = new RosterStandIn(group, port, day.roster().lagMillis(), trace);
            StoreStandIn store = new StoreStandIn(
                    group, port + 1, day.store().fullPace(), day.store().most(), trace);
            List<WorkerStandIn> workers =
                    workers(day, group, port + 2, day.workers().count(), store.port(), trace);
            for (int i = 0; i < workers.size(); i++) {
                list(roster, workers.get(i).id(), day, i);
            }
            System.out.println("roster http://127.0.0.1:" + roster.port());
            return untilStopped();
        }
    }

    /** Workers. */
    @Command(
            name = "worker",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "Scripted workers.")
    static final class Worker implements Callable<Integer> {
        @Option(
                names = "--scenario",
                paramLabel = "FILE",
                description = "Figures of the fleet; the bad day's if left out.")
        private Path scenario;

        @Option(names = "--port", required = true, description = "The first one's port; 0 takes any.")
        private int port;

        @Option(names = "--count", defaultValue = "1", description = "How many. Default ${DEFAULT-VALUE}.")
        private int count;

        @Option(names = "--store-port", required = true, description = "Where they fetch from.")
        private int store;

        @Override
        public Integer call() throws Exception {
            workers(Scenarios.load(scenario, "bad-day"), Net.group(4), port, count, store, new Trace(System::nanoTime));
            return untilStopped();
        }
    }

    /** A roster. */
    @Command(
            name = "roster",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "A roster that lists the workers named.")
    static final class Roster implements Callable<Integer> {
        @Option(names = "--port", required = true, description = "Its port.")
        private int port;

        @Option(names = "--lag-ms", defaultValue = "300", description = "How late it is. Default ${DEFAULT-VALUE}.")
        private long lag;

        @Option(names = "--worker", required = true, paramLabel = "ADDRESS:PORT", description = "A worker; repeatable.")
        private List<String> workers;

        @Override
        public Integer call() throws Exception {
            RosterStandIn roster = new RosterStandIn(Net.group(1), port, lag, new Trace(System::nanoTime));
            Scenario day = Scenarios.load(null, "bad-day");
            for (int i = 0; i < workers.size(); i++) {
                list(roster, workers.get(i), day, i);
            }
            System.out.println("roster http://127.0.0.1:" + roster.port());
            return untilStopped();
        }
    }

    /** A store. */
    @Command(
            name = "store",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description = "A store that slows when crowded and turns fetches away past its limit.")
    static final class Store implements Callable<Integer> {
        @Option(names = "--port", required = true, description = "Its port.")
        private int port;

        @Option(
                names = "--full-pace",
                defaultValue = "8",
                description = "Fetches at full pace. Default ${DEFAULT-VALUE}.")
        private int fullPace;

        @Option(
                names = "--most",
                defaultValue = "32",
                description = "Fetches in hand at most. Default ${DEFAULT-VALUE}.")
        private int most;

        @Override
        public Integer call() throws InterruptedException {
            StoreStandIn store = new StoreStandIn(Net.group(1), port, fullPace, most, new Trace(System::nanoTime));
            System.out.println("store http://127.0.0.1:" + store.port());
            return untilStopped();
        }
    }
}

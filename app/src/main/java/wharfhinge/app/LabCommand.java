package wharfhinge.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.lab.Span;
import wharfhinge.lab.Storm;
import wharfhinge.lab.StormRun;

/** The command {@code lab}: experiments in simulated time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Simulates fleets of workers behind the dispatcher that gateways run.",
        subcommands = LabCommand.StormCommand.class)
final class LabCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing experiment: storm");
    }

    /** The command {@code lab storm}: an overload for ten seconds and the recovery from it. */
    @Command(
            name = "storm",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description =
                    "Simulates an overload: load at --calm of the fleet's capacity, at --peak for ten seconds, then at --calm again. "
                            + "Prints a row for each two seconds, or with --seeds a line for each run; exits with 1 if a rule is broken.")
    static final class StormCommand implements Callable<Integer> {
        /** Memory of a worker, in copies; there are ninety functions and eight workers. */
        enum Memory {
            TIGHT(12),
            AMPLE(90),
            THIRD(4);

            private final int copies;

            Memory(int copies) {
                this.copies = copies;
            }
        }

        private static final int FLEET_NUMBERS = 4; // numbers in the value of --fleet

        @Option(
                names = "--memory",
                defaultValue = "TIGHT",
                description =
                        "Memory of a worker, ${COMPLETION-CANDIDATES}: the fleet holds each function about once, each "
                                + "worker holds all functions, or the fleet holds a third of them. Default ${DEFAULT-VALUE}.")
        private Memory memory;

        @Option(
                names = "--calm",
                defaultValue = "0.5",
                description = "Load before and after the storm, as a part of the capacity. Default ${DEFAULT-VALUE}.")
        private double calm;

        @Option(
                names = "--peak",
                defaultValue = "1.5",
                description = "Load during the storm, as a part of the capacity. Default ${DEFAULT-VALUE}.")
        private double peak;

        @Option(names = "--gateways", defaultValue = "1", description = "Number of gateways. Default ${DEFAULT-VALUE}.")
        private int gateways;

        @Option(
                names = "--loads-on-call",
                description = "Workers load a function when they are called for it; otherwise on load orders only.")
        private boolean loadsOnCall;

        @Option(
                names = "--load-ms",
                defaultValue = "400",
                description = "Time to fetch a package, in milliseconds. Default ${DEFAULT-VALUE}.")
        private int loadMillis;

        @Option(
                names = "--store",
                defaultValue = "8",
                description = "Fetches that the package store serves concurrently. Default ${DEFAULT-VALUE}.")
        private int store;

        @Option(
                names = "--tries",
                defaultValue = "3",
                description = "Attempts of a client before its deadline. Default ${DEFAULT-VALUE}.")
        private int tries;

        @Option(names = "--room", description = "Copies that a worker can hold; replaces --memory.")
        private Integer room;

        @Option(
                names = "--fleet",
                split = ",",
                defaultValue = "8,4,4,90",
                paramLabel = "N",
                description = "Number of workers, cores of a worker, slots of a copy, "
                        + "number of functions. Default ${DEFAULT-VALUE}.")
        private int[] fleet;

        @Option(
                names = "--ration",
                defaultValue = "0",
                description = "Load quota of a gateway: load orders in five seconds, plus one for each ten of its "
                        + "calls; 0: no limit. Default ${DEFAULT-VALUE}.")
        private int ration;

        @Option(
                names = "--large",
                defaultValue = "0",
                description =
                        "Number of functions, the most popular ones, a copy of which takes more than half of a worker's "
                                + "memory. Default ${DEFAULT-VALUE}.")
        private int large;

        @Option(names = "--one-tenant", description = "Load beyond --calm is for one function in ten only.")
        private boolean oneTenant;

        @Option(
                names = "--chains",
                defaultValue = "0",
                description = "Part of the requests that are chains of two steps. " + "Default ${DEFAULT-VALUE}.")
        private double chains;

        @Option(
                names = "--trouble",
                split = ",",
                paramLabel = "KIND:AT:FOR",
                description =
                        "Fault to inject, with its start and length in seconds since the first "
                                + "counted call: TURNOVER, WORKER_RESTARTS, STORE_SLOW, GATEWAYS_RESTART; the storm lasts from 6 to 16.")
        private List<String> troubles = new ArrayList<>();

        @Option(
                names = "--seed",
                defaultValue = "7",
                description = "Seed of all random numbers. Default ${DEFAULT-VALUE}.")
        private long seed;

        @Option(names = "--seeds", description = "Number of runs, with seeds from 1 on; replaces --seed.")
        private Integer seeds;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        private Storm storm() {
            if (fleet.length != FLEET_NUMBERS || IntStream.of(fleet).anyMatch(n -> n < 1)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--fleet: found " + IntStream.of(fleet).boxed().toList()
                                + ", allowed: four numbers above 0, as in 8,4,4,90");
            }
            Storm storm = Storm.minimalMemory()
                    .fleet(fleet[0], fleet[1], fleet[2], fleet[FLEET_NUMBERS - 1])
                    .room(room == null ? memory.copies : room)
                    .gateways(gateways)
                    .loadsOnCall(loadsOnCall)
                    .load(calm, peak)
                    .loading(loadMillis, store)
                    .tries(tries)
                    .ration(ration)
                    .large(large)
                    .chains(chains)
                    .seed(seed);
            storm = oneTenant ? storm.ofOneTenant() : storm;
            for (String text : troubles) {
                String[] fields = text.split(":");
                try {
                    storm = storm.with(
                            Storm.Kind.valueOf(fields[0]),
                            Double.parseDouble(fields[1]),
                            fields.length > 2 ? Double.parseDouble(fields[2]) : 0);
                } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                    throw new CommandLine.ParameterException(
                            spec.commandLine(),
                            "--trouble: found '" + text + "', allowed: KIND:AT:FOR with " + "KIND one of "
                                    + List.of(Storm.Kind.values()));
                }
            }
            return storm;
        }

        @Override
        public Integer call() {
            final Storm storm = storm();
            List<StormRun.Played> runs = seeds == null
                    ? List.of(StormRun.play(storm))
                    : IntStream.rangeClosed(1, seeds)
                            .parallel()
                            .mapToObj(s -> StormRun.play(storm.seed(s)))
                            .toList();
            if (seeds == null) {
                System.out.println(Span.HEAD);
                runs.get(0).spans().forEach(s -> System.out.println(s.row()));
            }
            runs.forEach(p -> System.out.println("seed " + p.storm().seed() + ": " + p.summary()));
            if (seeds != null) {
                System.out.printf(
                        Locale.ROOT,
                        "mean: before %.1f%%, storm %.2f of what can be, 0-4 s after %.1f%%, 4 s on %.1f%% "
                                + "(least %.1f%%)%n",
                        100 * mean(runs, 0, 6),
                        runs.stream()
                                .mapToDouble(p -> p.inTime(6, 16) / p.bound(6, 16))
                                .average()
                                .orElse(0),
                        100 * mean(runs, 16, 20),
                        100 * mean(runs, 20, 99),
                        100
                                * runs.stream()
                                        .mapToDouble(p -> p.inTime(20, 99))
                                        .min()
                                        .orElse(0));
            }
            List<String> faults =
                    runs.stream().flatMap(p -> p.faults().stream()).limit(5).toList();
            faults.forEach(System.out::println);
            return faults.isEmpty() ? Program.OK : Program.FAILURE;
        }

        private static double mean(List<StormRun.Played> runs, double fromS, double toS) {
            return runs.stream()
                    .mapToDouble(p -> p.inTime(fromS, toS))
                    .average()
                    .orElse(0);
        }
    }
}

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

/** Experiments in simulated time. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Fleets in simulated time before the decisions that gateways take.",
        subcommands = LabCommand.StormCommand.class)
final class LabCommand implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "an experiment is needed: storm");
    }

    /** Too many calls for a while, and what comes after. */
    @Command(
            name = "storm",
            mixinStandardHelpOptions = true,
            versionProvider = Program.Version.class,
            description =
                    "Plays a storm: a fleet at --calm of its capacity, ten seconds at --peak, then calm again. Prints spans of two "
                            + "seconds; with --seeds a line for each of so many draws, and exits with 1 where a rule broke.")
    static final class StormCommand implements Callable<Integer> {
        /** Room of a worker, in copies, beside ninety functions on eight workers. */
        enum Memory {
            TIGHT(12),
            AMPLE(90),
            THIRD(4);

            private final int copies;

            Memory(int copies) {
                this.copies = copies;
            }
        }

        private static final int FLEET = 4; // figures that make one

        @Option(
                names = "--memory",
                defaultValue = "TIGHT",
                description = "${COMPLETION-CANDIDATES}: just all functions, all of them on each "
                        + "worker, a third of them. Default ${DEFAULT-VALUE}.")
        private Memory memory;

        @Option(
                names = "--calm",
                defaultValue = "0.5",
                description = "Of the capacity, before and after. Default ${DEFAULT-VALUE}.")
        private double calm;

        @Option(
                names = "--peak",
                defaultValue = "1.5",
                description = "Of the capacity, in the storm. Default ${DEFAULT-VALUE}.")
        private double peak;

        @Option(names = "--gateways", defaultValue = "1", description = "Default ${DEFAULT-VALUE}.")
        private int gateways;

        @Option(names = "--loads-on-call", description = "Workers load what they are called for; else orders do.")
        private boolean loadsOnCall;

        @Option(names = "--load-ms", defaultValue = "400", description = "A load's fetch. Default ${DEFAULT-VALUE}.")
        private int loadMillis;

        @Option(
                names = "--store",
                defaultValue = "8",
                description = "Fetches that the store serves at a time. Default ${DEFAULT-VALUE}.")
        private int store;

        @Option(
                names = "--tries",
                defaultValue = "3",
                description = "Of a client within its patience. Default ${DEFAULT-VALUE}.")
        private int tries;

        @Option(names = "--room", description = "Copies that a worker holds, in place of --memory.")
        private Integer room;

        @Option(
                names = "--fleet",
                split = ",",
                defaultValue = "8,4,4,90",
                paramLabel = "N",
                description = "Workers, cores of one, lanes of a copy, " + "functions. Default ${DEFAULT-VALUE}.")
        private int[] fleet;

        @Option(
                names = "--ration",
                defaultValue = "0",
                description = "Load orders of a gateway in five seconds, and one more for ten of its "
                        + "calls in them; 0: as many as it likes. Default ${DEFAULT-VALUE}.")
        private int ration;

        @Option(
                names = "--large",
                defaultValue = "0",
                description = "So many functions, the most popular ones, take more than half of a worker's "
                        + "memory. Default ${DEFAULT-VALUE}.")
        private int large;

        @Option(names = "--one-tenant", description = "What is offered beyond calm is all for one function in ten.")
        private boolean oneTenant;

        @Option(
                names = "--chains",
                defaultValue = "0",
                description =
                        "This part of what clients ask for are chains of two steps. " + "Default ${DEFAULT-VALUE}.")
        private double chains;

        @Option(
                names = "--trouble",
                split = ",",
                paramLabel = "KIND:AT:FOR",
                description =
                        "Beside the storm, in seconds since the first "
                                + "counted call: TURNOVER, WORKER_RESTARTS, STORE_SLOW, GATEWAYS_RESTART; the storm is from 6 to 16.")
        private List<String> troubles = new ArrayList<>();

        @Option(names = "--seed", defaultValue = "7", description = "Of all draws. Default ${DEFAULT-VALUE}.")
        private long seed;

        @Option(names = "--seeds", description = "So many runs, from seed 1.")
        private Integer seeds;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        private Storm storm() {
            if (fleet.length != FLEET || IntStream.of(fleet).anyMatch(n -> n < 1)) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--fleet: found " + IntStream.of(fleet).boxed().toList()
                                + ", allowed: four numbers above 0, as in 8,4,4,90");
            }
            Storm storm = Storm.minimalMemory()
                    .fleet(fleet[0], fleet[1], fleet[2], fleet[FLEET - 1])
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
                String[] f = text.split(":");
                try {
                    storm = storm.with(
                            Storm.Kind.valueOf(f[0]),
                            Double.parseDouble(f[1]),
                            f.length > 2 ? Double.parseDouble(f[2]) : 0);
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
            List<StormRun.Played> all = seeds == null
                    ? List.of(StormRun.play(storm))
                    : IntStream.rangeClosed(1, seeds)
                            .parallel()
                            .mapToObj(s -> StormRun.play(storm.seed(s)))
                            .toList();
            if (seeds == null) {
                System.out.println(Span.HEAD);
                all.get(0).spans().forEach(s -> System.out.println(s.row()));
            }
            all.forEach(p -> System.out.println("seed " + p.storm().seed() + ": " + p.summary()));
            if (seeds != null) {
                System.out.printf(
                        Locale.ROOT,
                        "mean: before %.1f%%, storm %.2f of what can be, 0-4 s after %.1f%%, 4 s on %.1f%% "
                                + "(least %.1f%%)%n",
                        100 * mean(all, 0, 6),
                        all.stream()
                                .mapToDouble(p -> p.inTime(6, 16) / p.bound(6, 16))
                                .average()
                                .orElse(0),
                        100 * mean(all, 16, 20),
                        100 * mean(all, 20, 99),
                        100
                                * all.stream()
                                        .mapToDouble(p -> p.inTime(20, 99))
                                        .min()
                                        .orElse(0));
            }
            List<String> faults =
                    all.stream().flatMap(p -> p.faults().stream()).limit(5).toList();
            faults.forEach(System.out::println);
            return faults.isEmpty() ? Program.OK : Program.WANTING;
        }

        private static double mean(List<StormRun.Played> of, double fromS, double toS) {
            return of.stream().mapToDouble(p -> p.inTime(fromS, toS)).average().orElse(0);
        }
    }
}

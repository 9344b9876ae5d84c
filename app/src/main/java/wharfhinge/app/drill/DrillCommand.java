package wharfhinge.app.drill;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharfhinge.app.Program;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.judge.MemoryAccountingVerifier;
import wharfhinge.standin.judge.TraceVerifier;

/** The command {@code drill}: fault injection tests over real gateway processes, which the trace verifier checks. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Runs a fault injection test over gateway processes on loopback and checks the five rules on its traffic; "
                        + "exits with 1 unless all are kept.")
public final class DrillCommand implements Callable<Integer> {
    /** Every kind of fault, as in {@code --trouble}: name, start and length in seconds, part, size, extra. */
    private static final List<String> SINGLE_FAULTS = List.of(
            "calm",
            "answer_lost,2,5,0.5,0.25,0",
            "answer_lost,2,5,0.5,0.25,1",
            "balancer_roll,3,1.5,1,0.5,0",
            "balancer_stall,3,2,0.4,0,0",
            "burst,3,3,0,2,0",
            "discovery_stale,1,7,0,2,0;drain,2,3,0.2,0,1",
            "fast_errors,2,5,0.2,0.6,0",
            "flush,4,0,0,0.7,0",
            "give_up,2,5,0,0.3,0",
            "handshake_slow,1,7,0.8,200,0",
            "hang,2,5,0.2,0,0",
            "heavy_tail,2,5,0.02,15,0",
            "hot_key,3,5,0,0.25,2",
            "neighbour,2,6,0.5,0.5,1.5",
            "pauses,2,6,0.4,300,0.7",
            "scan,3,5,0,0.15,0",
            "shift,3,0,0,0.6,0",
            "slow,2,6,0.25,5,0",
            "overload,2,6,0,2,0",
            "drain,2,3,0.3,0,1",
            "restart,3,0.5,0.3,0,0",
            "roster_lost,2,5,0,0,0;restart,3,0.5,0.2,0,0",
            "roster_silent,2,5,0,0,0;restart,3,0.5,0.2,0,0",
            "store_shut,3,3,0,0,0");

    private static final List<String> CLIENT_DRILLS = List.of("rolling-restart", "retry-storm", "flood", "storm");
    private static final double CALM_CAPACITY_PER_S = 240; // of the workers of the scenario "calm"
    private static final double MAX_NOT_SERVED_SHARE = 0.001;
    private static final double REAL_WORKER_MEMORY_SHARE = 0.04; // so that the copies of a scenario fit one machine

    @Parameters(
            arity = "0..1",
            paramLabel = "NAME",
            defaultValue = "bad-day",
            description =
                    "Scenario, one of bad-day, calm, loads-on-call, bad-day-chains, chains, workers, forty-workers, "
                            + "incident-release, incident-workers-gone, incident-gateways-gone, "
                            + "rolling-restart (replaces gateways one by one under both client libraries), "
                            + "retry-storm, flood, storm (--memory, --peak, --gateways, --loads-on-call); "
                            + "default ${DEFAULT-VALUE}.")
    private String name;

    @Option(names = "--scenario", paramLabel = "FILE", description = "Scenario file, XML; replaces NAME.")
    private Path file;

    @Option(
            names = "--mutant",
            description = "Safeguard to disable: ${COMPLETION-CANDIDATES}. The drill is then "
                    + "expected to find a broken rule and to exit with 1.")
    private Mutant mutant;

    @Option(
            names = "--trouble",
            paramLabel = "NAME,AT,FOR,PART,SIZE,EXTRA",
            split = ";",
            description = "Faults that replace those of the scenario; AT and FOR in seconds.")
    private List<String> troubles;

    @Option(names = "--seconds", description = "Length of the run in seconds; the scenario's own if left out.")
    private Double seconds;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "Folder for settings, logs and the trace; a temporary one if left out.")
    private Path out;

    @Option(
            names = "--each",
            description = "Runs the scenario briefly with each kind of fault alone, and prints a table.")
    private boolean each;

    @Option(
            names = "--mutants",
            paramLabel = "RUNS",
            description = "Number of runs of the scenario with each mutant that breaks one of the "
                    + "five rules; prints in how many runs the broken rule was found and exits with 1 unless in all.")
    private Integer mutants;

    @Option(
            names = "--load",
            defaultValue = "1",
            description = "Factor by which the scenario's call rate is multiplied; default ${DEFAULT-VALUE}.")
    private double load;

    @Option(
            names = "--chain-share",
            description = "Part of the requests that are chains; the scenario's own if left out.")
    private Double chainShare;

    @Option(
            names = "--real-workers",
            description =
                    "Runs worker processes in place of emulated workers, with "
                            + "a twenty-fifth of the memory, and compares their memory accounting with the memory of the processes.")
    private boolean realWorkers;

    @Option(
            names = "--capture",
            description = "Lets each gateway write a capture for the command " + "'replay' into --out.")
    private boolean capture;

    @Option(names = "--workers", description = "Number of workers; the scenario's own if left out.")
    private Integer workers;
    /** Memory of a worker in the storm, in copies. */
    enum Memory {
        /** The whole fleet holds each function about once. */
        TIGHT(12),
        /** Each worker holds all functions. */
        AMPLE(90);

        private final int copies;

        Memory(int copies) {
            this.copies = copies;
        }
    }

    @Option(
            names = "--memory",
            defaultValue = "TIGHT",
            description = "With storm: memory of a worker, ${COMPLETION-CANDIDATES}; default ${DEFAULT-VALUE}.")
    private Memory memory;

    @Option(
            names = "--peak",
            defaultValue = "1.5",
            description = "With storm: load at its peak, as a multiple of the capacity; default ${DEFAULT-VALUE}.")
    private double peak;

    @Option(names = "--gateways", description = "With storm: number of gateways; the scenario's own if left out.")
    private Integer gateways;

    @Option(
            names = "--full-at",
            defaultValue = "0.4",
            description = "With flood: part of its latency objective that an answer may take before the fleet "
                    + "counts as saturated. Default ${DEFAULT-VALUE}.")
    private double fullAt;

    @Option(names = "--loads-on-call", description = "With storm: workers load a function when they are called for it.")
    private boolean loadsOnCall;

    @Option(
            names = "--compare-chains",
            description = "Runs the scenario 'chains' at each load of --loads with "
                    + "one deadline, with a deadline for each step, and without early rejection, and prints a table.")
    private boolean compareChains;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.5,0.8,1,1.3",
            description =
                    "With --compare-chains: factors by which the call rate is multiplied; default ${DEFAULT-VALUE}.")
    private double[] loads;

    @Option(
            names = "--singles",
            description = "With --compare-chains: adds a run of the same single calls without chains.")
    private boolean singles;

    @Override
    public Integer call() throws Exception {
        if (compareChains) {
            return compareChains();
        }
        if (each) {
            return runSingleFaults();
        }
        if (mutants != null) {
            return runMutants();
        }
        if (CLIENT_DRILLS.contains(name)) {
            return runClientDrill();
        }
        Scenario scenario = scenario();
        Path folder = out == null ? Files.createTempDirectory("wharfhinge-drill") : Files.createDirectories(out);
        System.out.println("drill " + scenario.name() + (mutant == null ? "" : " with mutant " + mutant.label()) + ": "
                + scenario.gateways() + " gateways, " + scenario.workers().count() + " workers, " + scenario.seconds()
                + " s; files in "
                + folder);
        TraceVerifier.VerificationResult verdict;
        MemoryAccountingVerifier memoryJudge;
        try (DrillRun drillRun = new DrillRun(scenario, mutant, folder, capture)) {
            verdict = drillRun.run();
            memoryJudge = drillRun.memoryJudge();
            if (!drillRun.unsupportedFaults().isEmpty()) {
                System.out.println("left out, since worker processes do not support these faults: "
                        + drillRun.unsupportedFaults());
            }
        }
        TraceVerifier.report(verdict).forEach(System.out::println);
        if (memoryJudge != null) {
            memoryJudge.faults().stream().limit(5).forEach(System.out::println);
            System.out.println(memoryJudge.summary());
        }
        return verdict.rulesKept() == 5
                        && (memoryJudge == null || memoryJudge.faults().isEmpty())
                ? Program.OK
                : Program.FAILURE;
    }

    /** Reads the scenario and applies the options to it. */
    private Scenario scenario() throws Exception {
        Scenario scenario = Scenarios.load(file, name);
        scenario.load(load);
        if (chainShare != null) {
            scenario.chainShare(chainShare);
        }
        if (seconds != null) {
            scenario.seconds(seconds);
        }
        if (workers != null) {
            scenario.workers(workers);
        }
        if (realWorkers && !scenario.workers().real()) {
            scenario.real(REAL_WORKER_MEMORY_SHARE);
        }
        if (troubles != null) {
            scenario.troubles().clear();
            troubles.stream().filter(t -> !t.isBlank()).forEach(t -> scenario.troubles()
                    .add(parseFault(t)));
        }
        return scenario;
    }

    private int runMutants() throws Exception {
        System.out.println("| mutant | rule | found in runs | times broken in each |");
        System.out.println("| --- | --- | --- | --- |");
        boolean all = true;
        for (Mutant candidate : Mutant.OF_EACH_RULE) {
            List<Integer> broken = new ArrayList<>();
            for (int run = 0; run < mutants; run++) {
                try (DrillRun drillRun =
                        new DrillRun(scenario(), candidate, Files.createTempDirectory("wharfhinge-drill"))) {
                    broken.add(drillRun.run()
                            .broken()
                            .getOrDefault(candidate.rule(), List.of())
                            .size());
                }
            }
            long found = broken.stream().filter(n -> n > 0).count();
            all &= found == mutants;
            System.out.println("| " + candidate + " | " + candidate.rule() + " | " + found + " of " + mutants + " | "
                    + broken.stream().map(String::valueOf).collect(Collectors.joining(", ")) + " |");
        }
        return all ? Program.OK : Program.FAILURE;
    }

    private int runClientDrill() throws Exception {
        Path folder = out == null ? Files.createTempDirectory("wharfhinge-drill") : Files.createDirectories(out);
        Scenario scenario =
                Scenarios.load(file, name.equals("rolling-restart") || name.equals("storm") ? name : "calm");
        scenario.load(load);
        if (name.equals("storm")) {
            scenario.memoryMb(
                    memory.copies * scenario.offeredTraffic().classes().get(0).memoryMb());
            scenario.loadsOnCall(loadsOnCall);
            scenario.gateways(gateways == null ? scenario.gateways() : gateways);
            return new StormDrill(scenario, peak).run(folder) ? Program.OK : Program.FAILURE;
        }
        if (name.equals("rolling-restart")) {
            return ClientDrills.rollingRestart(scenario, folder, seconds == null ? scenario.seconds() : seconds)
                            < MAX_NOT_SERVED_SHARE
                    ? Program.OK
                    : Program.FAILURE;
        } else if (name.equals("retry-storm")) {
            ClientDrills.retryStorm(scenario, folder, CALM_CAPACITY_PER_S);
        } else {
            ClientDrills.flood(scenario, folder, CALM_CAPACITY_PER_S, fullAt);
        }
        return Program.OK;
    }

    private int compareChains() throws Exception {
        System.out.println(
                "| load | way | rules kept | chains | in time | work done ms | wasted ms | let through, made it | "
                        + "single calls in time |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (double loadFactor : loads) {
            for (Mutant variant : new Mutant[] {null, Mutant.CLOCK_FOR_EACH_STEP, Mutant.NO_EARLY_REFUSAL}) {
                printRow(loadFactor, variant, variant == null ? "one deadline" : variant.label(), false);
            }
            if (singles) {
                printRow(loadFactor, null, "no chains", true);
            }
        }
        return Program.OK;
    }

    private void printRow(double loadFactor, Mutant variant, String label, boolean singlesOnly) throws Exception {
        Scenario scenario = Scenarios.load(file, "chains");
        scenario.load(loadFactor);
        if (singlesOnly) { // keeps the rate of single calls of the run with chains
            scenario.load(1 - scenario.offeredTraffic().chainShare());
            scenario.chainShare(0);
        }
        scenario.seconds(seconds == null ? scenario.seconds() : seconds);
        try (DrillRun drillRun = new DrillRun(scenario, variant, Files.createTempDirectory("wharfhinge-drill"))) {
            TraceVerifier.VerificationResult verdict = drillRun.run();
            Map<String, String> figures = verdict.figures();
            Map<String, Long> gatewayMetrics = drillRun.gatewayMetrics();
            System.out.printf(
                    "| %s | %s | %d of 5 | %s | %s | %s | %s | %d, %d | %s |%n",
                    loadFactor,
                    label,
                    verdict.rulesKept(),
                    figures.get("chains"),
                    figures.get("chains in time"),
                    figures.get("work done ms"),
                    figures.get("work wasted ms"),
                    gatewayMetrics.getOrDefault("chain_let_through", 0L),
                    gatewayMetrics.getOrDefault("chain_let_through_served", 0L),
                    figures.get("singles in time"));
        }
    }

    private int runSingleFaults() throws Exception {
        System.out.println("| trouble | rules kept | in time | late | refusals | failures | loads per call |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        int failedRuns = 0;
        for (String faultTexts : SINGLE_FAULTS) {
            Scenario scenario = Scenarios.load(file, name);
            scenario.seconds(seconds == null ? 9 : seconds);
            scenario.troubles().clear();
            for (String faultText : faultTexts.equals("calm") ? new String[0] : faultTexts.split(";")) {
                scenario.troubles().add(parseFault(faultText));
            }
            TraceVerifier.VerificationResult verdict;
            try (DrillRun drillRun = new DrillRun(scenario, mutant, Files.createTempDirectory("wharfhinge-drill"))) {
                verdict = drillRun.run();
            }
            failedRuns += verdict.rulesKept() == 5 ? 0 : 1;
            Map<String, String> figures = verdict.figures();
            System.out.println("| " + faultTexts.replace(";", " and ") + " | " + verdict.rulesKept() + " of 5 | "
                    + figures.get("in time")
                    + " | " + figures.get("late") + " | " + figures.get("refusals") + " | " + figures.get("failures")
                    + " | "
                    + figures.get("loads per call") + " |");
            if (verdict.rulesKept() < 5) {
                TraceVerifier.report(verdict).forEach(System.err::println);
            }
        }
        System.out.println(
                "days with all rules kept: " + (SINGLE_FAULTS.size() - failedRuns) + " of " + SINGLE_FAULTS.size());
        return failedRuns == 0 ? Program.OK : Program.FAILURE;
    }

    private static Scenario.InjectedFault parseFault(String text) {
        String[] fields = text.split(",");
        double[] figures = new double[5];
        for (int i = 1; i < fields.length; i++) {
            figures[i - 1] = Double.parseDouble(fields[i]);
        }
        return new Scenario.InjectedFault(fields[0], figures[0], figures[1], figures[2], figures[3], figures[4]);
    }
}

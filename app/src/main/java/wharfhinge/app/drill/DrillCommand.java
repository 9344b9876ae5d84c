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
import wharfhinge.standin.judge.Judge;
import wharfhinge.standin.judge.MemoryJudge;

/** Plays a day over real gateways and judges it from the traffic. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Plays a scenario over real gateways on loopback and judges the five rules from the traffic; "
                + "exits with 1 unless all are kept.")
public final class DrillCommand implements Callable<Integer> {
    /** Every kind of trouble; name, seconds from the start, length, part, size, extra. */
    private static final List<String> EACH = List.of(
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

    private static final List<String> CLIENTS = List.of("rolling-restart", "retry-storm", "flood", "storm");
    private static final double CALM_BEARS = 240; // calls a second that the workers of the scenario calm can serve
    private static final double MOST_NOT_SERVED = 0.001;
    private static final double REAL_MEMORY = 0.04; // so that a day's copies fit one machine

    @Parameters(
            arity = "0..1",
            paramLabel = "NAME",
            defaultValue = "bad-day",
            description = "One of bad-day, calm, loads-on-call, bad-day-chains, chains, workers, forty-workers, "
                    + "incident-release, incident-workers-gone, incident-gateways-gone, "
                    + "rolling-restart (gateways replaced one by one under both client libraries), retry-storm, flood, storm (--memory, --peak, --gateways, --loads-on-call); "
                    + "default ${DEFAULT-VALUE}.")
    private String name;

    @Option(names = "--scenario", paramLabel = "FILE", description = "A scenario of your own in place of a name.")
    private Path file;

    @Option(
            names = "--mutant",
            description = "Breaks a guard on purpose: ${COMPLETION-CANDIDATES}. The drill is then "
                    + "expected to end with a broken rule, and to exit with 1.")
    private Mutant mutant;

    @Option(
            names = "--trouble",
            paramLabel = "NAME,AT,FOR,PART,SIZE,EXTRA",
            split = ";",
            description = "Troubles in place of the scenario's own; times in seconds.")
    private List<String> troubles;

    @Option(names = "--seconds", description = "How long calls are offered.")
    private Double seconds;

    @Option(names = "--out", paramLabel = "FOLDER", description = "Keeps settings, logs and the trace there.")
    private Path out;

    @Option(names = "--each", description = "Plays every kind of trouble by itself, on short days, and prints a table.")
    private boolean each;

    @Option(
            names = "--mutants",
            paramLabel = "RUNS",
            description = "Plays the scenario so many times with each mutant that breaks one of the "
                    + "five rules, and prints in how many the judge found it; exits with 1 unless in all.")
    private Integer mutants;

    @Option(names = "--load", defaultValue = "1", description = "Offers so many times the scenario's calls.")
    private double load;

    @Option(names = "--chain-share", description = "The part of what is offered that is chains.")
    private Double chainShare;

    @Option(
            names = "--real-workers",
            description = "In place of scripted workers processes of the project's own worker, with "
                    + "a twenty-fifth of the memory; their books are held against what their processes hold.")
    private boolean realWorkers;

    @Option(
            names = "--capture",
            description =
                    "Has each gateway capture what its decisions are told and decide, for " + "'replay', into --out.")
    private boolean capture;

    @Option(names = "--workers", description = "So many workers.")
    private Integer workers;
    /** Memory of a worker in the storm, in copies. */
    enum Memory {
        /** Just all functions on the whole fleet. */
        TIGHT(12),
        /** All functions on each worker. */
        AMPLE(90);

        private final int copies;

        Memory(int copies) {
            this.copies = copies;
        }
    }

    @Option(
            names = "--memory",
            defaultValue = "TIGHT",
            description = "With storm: ${COMPLETION-CANDIDATES}; default ${DEFAULT-VALUE}.")
    private Memory memory;

    @Option(
            names = "--peak",
            defaultValue = "1.5",
            description = "With storm: times the capacity; default ${DEFAULT-VALUE}.")
    private double peak;

    @Option(names = "--gateways", description = "With storm: so many.")
    private Integer gateways;

    @Option(
            names = "--full-at",
            defaultValue = "0.4",
            description = "With flood: part of its aim that an answer may take before the fleet "
                    + "counts as full. Default ${DEFAULT-VALUE}.")
    private double fullAt;

    @Option(names = "--loads-on-call", description = "With storm: workers load what they are called for.")
    private boolean loadsOnCall;

    @Option(
            names = "--compare-chains",
            description = "Plays the scenario 'chains' at 0.5, 0.8, 1 and 1.3 times its load with "
                    + "one deadline, with a clock for each step, and without early refusal, and prints a table.")
    private boolean compareChains;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.5,0.8,1,1.3",
            description = "With --compare-chains: these loads; default ${DEFAULT-VALUE}.")
    private double[] loads;

    @Option(
            names = "--singles",
            description = "With --compare-chains: adds a run of the same single calls without chains.")
    private boolean singles;

    @Override
    public Integer call() throws Exception {
        if (compareChains) {
            return playChains();
        }
        if (each) {
            return playEach();
        }
        if (mutants != null) {
            return playMutants();
        }
        if (CLIENTS.contains(name)) {
            return playClients();
        }
        Scenario day = scenario();
        Path folder = out == null ? Files.createTempDirectory("wharfhinge-drill") : Files.createDirectories(out);
        System.out.println("drill " + day.name() + (mutant == null ? "" : " with mutant " + mutant.word()) + ": "
                + day.gateways() + " gateways, " + day.workers().count() + " workers, " + day.seconds()
                + " s; files in "
                + folder);
        Judge.Verdict verdict;
        MemoryJudge memory;
        try (Day played = new Day(day, mutant, folder, capture)) {
            verdict = played.play();
            memory = played.memory();
            if (!played.leftOut().isEmpty()) {
                System.out.println("left out, since real workers can't be made to suffer it: " + played.leftOut());
            }
        }
        Judge.report(verdict).forEach(System.out::println);
        if (memory != null) {
            memory.faults().stream().limit(5).forEach(System.out::println);
            System.out.println(memory.summary());
        }
        return verdict.kept() == 5 && (memory == null || memory.faults().isEmpty()) ? Program.OK : Program.WANTING;
    }

    /** The scenario as the options change it. */
    private Scenario scenario() throws Exception {
        Scenario day = Scenarios.load(file, name);
        day.load(load);
        if (chainShare != null) {
            day.chainShare(chainShare);
        }
        if (seconds != null) {
            day.seconds(seconds);
        }
        if (workers != null) {
            day.workers(workers);
        }
        if (realWorkers && !day.workers().real()) {
            day.real(REAL_MEMORY);
        }
        if (troubles != null) {
            day.troubles().clear();
            troubles.stream().filter(t -> !t.isBlank()).forEach(t -> day.troubles()
                    .add(trouble(t)));
        }
        return day;
    }

    private int playMutants() throws Exception {
        System.out.println("| mutant | rule | found in runs | times broken in each |");
        System.out.println("| --- | --- | --- | --- |");
        boolean all = true;
        for (Mutant one : Mutant.OF_EACH_RULE) {
            List<Integer> broken = new ArrayList<>();
            for (int run = 0; run < mutants; run++) {
                try (Day played = new Day(scenario(), one, Files.createTempDirectory("wharfhinge-drill"))) {
                    broken.add(played.play()
                            .broken()
                            .getOrDefault(one.rule(), List.of())
                            .size());
                }
            }
            long found = broken.stream().filter(n -> n > 0).count();
            all &= found == mutants;
            System.out.println("| " + one + " | " + one.rule() + " | " + found + " of " + mutants + " | "
                    + broken.stream().map(String::valueOf).collect(Collectors.joining(", ")) + " |");
        }
        return all ? Program.OK : Program.WANTING;
    }

    private int playClients() throws Exception {
        Path folder = out == null ? Files.createTempDirectory("wharfhinge-drill") : Files.createDirectories(out);
        Scenario day = Scenarios.load(file, name.equals("rolling-restart") || name.equals("storm") ? name : "calm");
        day.load(load);
        if (name.equals("storm")) {
            day.memoryMb(memory.copies * day.offered().classes().get(0).memoryMb());
            day.loadsOnCall(loadsOnCall);
            day.gateways(gateways == null ? day.gateways() : gateways);
            return new StormDrill(day, peak).play(folder) ? Program.OK : Program.WANTING;
        }
        if (name.equals("rolling-restart")) {
            return ClientDrills.rollingRestart(day, folder, seconds == null ? day.seconds() : seconds) < MOST_NOT_SERVED
                    ? Program.OK
                    : Program.WANTING;
        } else if (name.equals("retry-storm")) {
            ClientDrills.storm(day, folder, CALM_BEARS);
        } else {
            ClientDrills.flood(day, folder, CALM_BEARS, fullAt);
        }
        return Program.OK;
    }

    private int playChains() throws Exception {
        System.out.println(
                "| load | way | rules kept | chains | in time | work done ms | wasted ms | let through, made it | "
                        + "single calls in time |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (double times : loads) {
            for (Mutant way : new Mutant[] {null, Mutant.CLOCK_FOR_EACH_STEP, Mutant.NO_EARLY_REFUSAL}) {
                row(times, way, way == null ? "one deadline" : way.word(), false);
            }
            if (singles) {
                row(times, null, "no chains", true);
            }
        }
        return Program.OK;
    }

    private void row(double times, Mutant way, String word, boolean singlesOnly) throws Exception {
        Scenario day = Scenarios.load(file, "chains");
        day.load(times);
        if (singlesOnly) { // as many single calls a second as beside chains
            day.load(1 - day.offered().chainShare());
            day.chainShare(0);
        }
        day.seconds(seconds == null ? day.seconds() : seconds);
        try (Day played = new Day(day, way, Files.createTempDirectory("wharfhinge-drill"))) {
            Judge.Verdict verdict = played.play();
            Map<String, String> f = verdict.figures();
            Map<String, Long> g = played.figures();
            System.out.printf(
                    "| %s | %s | %d of 5 | %s | %s | %s | %s | %d, %d | %s |%n",
                    times,
                    word,
                    verdict.kept(),
                    f.get("chains"),
                    f.get("chains in time"),
                    f.get("work done ms"),
                    f.get("work wasted ms"),
                    g.getOrDefault("chain_let_through", 0L),
                    g.getOrDefault("chain_let_through_served", 0L),
                    f.get("singles in time"));
        }
    }

    private int playEach() throws Exception {
        System.out.println("| trouble | rules kept | in time | late | refusals | failures | loads per call |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        int wanting = 0;
        for (String text : EACH) {
            Scenario day = Scenarios.load(file, name);
            day.seconds(seconds == null ? 9 : seconds);
            day.troubles().clear();
            for (String one : text.equals("calm") ? new String[0] : text.split(";")) {
                day.troubles().add(trouble(one));
            }
            Judge.Verdict verdict;
            try (Day played = new Day(day, mutant, Files.createTempDirectory("wharfhinge-drill"))) {
                verdict = played.play();
            }
            wanting += verdict.kept() == 5 ? 0 : 1;
            Map<String, String> f = verdict.figures();
            System.out.println(
                    "| " + text.replace(";", " and ") + " | " + verdict.kept() + " of 5 | " + f.get("in time")
                            + " | " + f.get("late") + " | " + f.get("refusals") + " | " + f.get("failures") + " | "
                            + f.get("loads per call") + " |");
            if (verdict.kept() < 5) {
                Judge.report(verdict).forEach(System.err::println);
            }
        }
        System.out.println("days with all rules kept: " + (EACH.size() - wanting) + " of " + EACH.size());
        return wanting == 0 ? Program.OK : Program.WANTING;
    }

    private static Scenario.Trouble trouble(String text) {
        String[] f = text.split(",");
        double[] figures = new double[5];
        for (int i = 1; i < f.length; i++) {
            figures[i - 1] = Double.parseDouble(f[i]);
        }
        return new Scenario.Trouble(f[0], figures[0], figures[1], figures[2], figures[3], figures[4]);
    }
}

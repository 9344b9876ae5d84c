package wharfhinge.app.drill;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharfhinge.app.Main;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.judge.Judge;

/** Plays a day over real gateways and judges it from the traffic. */
@Command(name = "drill", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
    description = "Plays a scenario over real gateways on loopback and judges the five rules from the traffic; "
        + "exits with 1 unless all are kept.")
public final class DrillCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "NAME", defaultValue = "bad-day",
        description = "One of bad-day, calm, loads-on-call; default ${DEFAULT-VALUE}.")
    private String name;
    @Option(names = "--scenario", paramLabel = "FILE", description = "A scenario of your own in place of a name.")
    private Path file;
    @Option(names = "--mutant", description = "Breaks a guard on purpose: ${COMPLETION-CANDIDATES}. The drill is then "
        + "expected to end with a broken rule, and to exit with 1.")
    private Mutant mutant;
    @Option(names = "--trouble", paramLabel = "NAME,AT,FOR,PART,SIZE,EXTRA", split = ";",
        description = "Troubles in place of the scenario's own; times in seconds.")
    private List<String> troubles;
    @Option(names = "--seconds", description = "How long calls are offered.")
    private Double seconds;
    @Option(names = "--out", paramLabel = "FOLDER", description = "Keeps settings, logs and the trace there.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenarios.load(file, name);
        if (seconds != null) {
            day.seconds(seconds);
        }
        if (troubles != null) {
            day.troubles().clear();
            troubles.stream().filter(t -> !t.isBlank()).forEach(t -> day.troubles().add(trouble(t)));
        }
        Path folder = out == null ? Files.createTempDirectory("wharfhinge-drill") : Files.createDirectories(out);
        System.out.println("drill " + day.name() + (mutant == null ? "" : " with mutant " + mutant.word()) + ": "
            + day.gateways() + " gateways, " + day.workers().count() + " workers, " + day.seconds() + " s; files in "
            + folder);
        Judge.Verdict verdict;
        try (Day played = new Day(day, mutant, folder)) {
            verdict = played.play();
        }
        Judge.report(verdict).forEach(System.out::println);
        return verdict.kept() == 5 ? Main.OK : Main.WANTING;
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

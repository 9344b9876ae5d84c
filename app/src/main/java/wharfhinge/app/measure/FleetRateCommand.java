package wharfhinge.app.measure;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.HttpCaller;

/** The highest rate of one gateway before a large fleet, this build's beside an earlier one's. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures on loopback how many calls a second come through one gateway before many workers (all in one process, "
                        + "they answer at once), with 64 open; an earlier build's gateway beside it, in turns.")
final class FleetRateCommand implements Callable<Integer> {
    private static final int ROUNDS = 3;
    private static final int WARM_UP = 6;

    @Option(names = "--workers", defaultValue = "800", description = "Default ${DEFAULT-VALUE}.")
    private int workers;

    @Option(names = "--functions", defaultValue = "3200", description = "Default ${DEFAULT-VALUE}.")
    private int functions;

    @Option(
            names = "--group",
            defaultValue = "1",
            description = "How many gateways each believes there are. Default ${DEFAULT-VALUE}.")
    private int group;

    @Option(names = "--seconds", defaultValue = "6", description = "Of each turn. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--against", paramLabel = "JAR", description = "The program of an earlier build.")
    private Path against;

    @Override
    public Integer call() throws Exception {
        try (Bench bench = new Bench(workers)) {
            Map<String, Integer> gateways = new LinkedHashMap<>();
            if (against != null) {
                gateways.put(
                        "earlier",
                        bench.gateway("earlier", against, "", "info", group).port());
            }
            gateways.put("now", bench.gateway("now", null, "", "info", group).port());
            System.out.printf(
                    "%d processors; %d workers, %d functions, believing itself one of %d, %d rounds of %d s after %d s%n",
                    Runtime.getRuntime().availableProcessors(), workers, functions, group, ROUNDS, seconds, WARM_UP);
            Map<String, Double> highest = new LinkedHashMap<>();
            for (int round = 0; round < ROUNDS; round++) {
                for (Map.Entry<String, Integer> g : gateways.entrySet()) {
                    HttpCaller caller = new HttpCaller(bench.group, g.getValue());
                    MeasureCommand.closed(caller, round == 0 ? WARM_UP : 1, functions);
                    double rate = MeasureCommand.closed(caller, seconds, functions);
                    System.out.printf("round %d, %s: %.0f calls/s%n", round + 1, g.getKey(), rate);
                    highest.merge(g.getKey(), rate, Math::max);
                }
            }
            highest.forEach((name, rate) -> System.out.printf("highest rate, %s: %.0f calls/s%n", name, rate));
            if (against != null) {
                System.out.printf("now over earlier: %.2f%n", highest.get("now") / highest.get("earlier"));
            }
            return Program.OK;
        }
    }
}

package wharfhinge.app.measure;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.HttpCaller;

/** Measures the highest call rate of one gateway with a large fleet of workers, optionally compared with an earlier build. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures on loopback the calls per second through one gateway with many workers (all in one process, responding at "
                        + "once) and 64 calls in flight; with --against, alternates with the gateway of an earlier build.")
final class FleetRateCommand implements Callable<Integer> {
    private static final int ROUNDS = 3;
    private static final int WARM_UP_SECONDS = 6;

    @Option(names = "--workers", defaultValue = "800", description = "Number of workers. Default ${DEFAULT-VALUE}.")
    private int workers;

    @Option(
            names = "--functions",
            defaultValue = "3200",
            description = "Number of functions. Default ${DEFAULT-VALUE}.")
    private int functions;

    @Option(
            names = "--group",
            defaultValue = "1",
            description = "Group size in gateways that the gateway is configured with. Default ${DEFAULT-VALUE}.")
    private int group;

    @Option(
            names = "--seconds",
            defaultValue = "6",
            description = "Duration of each measurement in seconds. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "The wharfhinge.jar of an earlier build to compare with.")
    private Path earlierJar;

    @Override
    public Integer call() throws Exception {
        try (LoopbackTestbed testbed = new LoopbackTestbed(workers)) {
            Map<String, Integer> gateways = new LinkedHashMap<>();
            if (earlierJar != null) {
                gateways.put(
                        "earlier",
                        testbed.gateway("earlier", earlierJar, "", "info", group)
                                .port());
            }
            gateways.put("now", testbed.gateway("now", null, "", "info", group).port());
            System.out.printf(
                    "%d processors; %d workers, %d functions, believing itself one of %d, %d rounds of %d s after %d s%n",
                    Runtime.getRuntime().availableProcessors(),
                    workers,
                    functions,
                    group,
                    ROUNDS,
                    seconds,
                    WARM_UP_SECONDS);
            Map<String, Double> highestRates = new LinkedHashMap<>();
            for (int round = 0; round < ROUNDS; round++) {
                for (Map.Entry<String, Integer> gateway : gateways.entrySet()) {
                    HttpCaller caller = new HttpCaller(testbed.group, gateway.getValue());
                    MeasureCommand.runClosedLoop(caller, round == 0 ? WARM_UP_SECONDS : 1, functions);
                    double rate = MeasureCommand.runClosedLoop(caller, seconds, functions);
                    System.out.printf("round %d, %s: %.0f calls/s%n", round + 1, gateway.getKey(), rate);
                    highestRates.merge(gateway.getKey(), rate, Math::max);
                }
            }
            highestRates.forEach((name, rate) -> System.out.printf("highest rate, %s: %.0f calls/s%n", name, rate));
            if (earlierJar != null) {
                System.out.printf("now over earlier: %.2f%n", highestRates.get("now") / highestRates.get("earlier"));
            }
            return Program.OK;
        }
    }
}

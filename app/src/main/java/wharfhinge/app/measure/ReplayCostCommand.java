package wharfhinge.app.measure;

import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharfhinge.app.Program;

/** Measures the processor time and allocation of replaying a captured event. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures with JMH, in a separate process, the replay of a capture: microseconds and allocated bytes per frame, "
                        + "including the comparison of the decisions with the captured ones.")
final class ReplayCostCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "CAPTURE",
            description = "A capture segment, a folder with the segments of one gateway, or a fixture (.jsonl).")
    private Path capture;

    @Option(
            names = "--seconds",
            defaultValue = "3",
            description =
                    "Duration in seconds of each of five iterations, after three of warm-up. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Override
    public Integer call() throws Exception {
        int frames = ReplayBenchmark.read(capture).size();
        Collection<RunResult> results = new Runner(new OptionsBuilder()
                        .include(ReplayBenchmark.class.getName())
                        .param("capture", capture.toAbsolutePath().toString())
                        .forks(1)
                        .warmupIterations(3)
                        .measurementIterations(5)
                        .warmupTime(TimeValue.seconds(seconds))
                        .measurementTime(TimeValue.seconds(seconds))
                        .addProfiler(GCProfiler.class)
                        .build())
                .run();
        for (RunResult result : results) {
            double micros = result.getPrimaryResult().getScore();
            double bytes = result.getSecondaryResults().entrySet().stream()
                    .filter(e -> e.getKey().endsWith("alloc.rate.norm"))
                    .mapToDouble(e -> e.getValue().getScore())
                    .findFirst()
                    .orElse(0);
            System.out.printf(
                    Locale.ROOT,
                    "%d processors; %d frames: %.2f us and %.0f bytes each (error of the mean %.0f%%)%n",
                    Runtime.getRuntime().availableProcessors(),
                    frames,
                    micros / frames,
                    bytes / frames,
                    100 * result.getPrimaryResult().getScoreError() / micros);
        }
        return Program.OK;
    }
}

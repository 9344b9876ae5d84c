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

/** What a captured event costs to decide again. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures with JMH, in a process of its own, what deciding a capture's events again costs: time and bytes allocated "
                        + "for each frame. Decisions are compared meanwhile, which is a part of it.")
final class ReplayCostCommand implements Callable<Integer> {
    @Parameters(paramLabel = "CAPTURE", description = "A segment, a folder of one gateway's, or a fixture.")
    private Path capture;

    @Option(
            names = "--seconds",
            defaultValue = "3",
            description = "Of each of five turns, after three of warm-up. Default ${DEFAULT-VALUE}.")
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
            double us = result.getPrimaryResult().getScore();
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
                    us / frames,
                    bytes / frames,
                    100 * result.getPrimaryResult().getScoreError() / us);
        }
        return Program.OK;
    }
}

package wharfhinge.app.drill;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.EventExecutor;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.GatewayRunner;
import wharfhinge.app.Program;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.gateway.Gateway;
import wharfhinge.worker.ProcessorWaitWatch;

/** A gateway that tells when the machine did not run it, where wanted with a guard broken on purpose; only drills start it. */
@Command(
        name = "drill-gateway",
        hidden = true,
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "A gateway for drills, where wanted with one guard broken on purpose.")
public final class DrillGatewayCommand implements Callable<Integer> {
    /** Begins the word of a line of the trace on standard output. */
    static final String NOT_RUN = "gw-not-run";

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The settings.")
    private Path config;

    @Option(names = "--name", required = true, description = "What the trace calls it.")
    private String name;

    @Option(names = "--mutant", description = "One of ${COMPLETION-CANDIDATES}; none where left out.")
    private Mutant mutant;

    @Override
    public Integer call() throws InterruptedException {
        return mutant == null
                ? GatewayRunner.serve(
                        config,
                        DispatcherFactory.CACHE_AWARE,
                        UnaryOperator.identity(),
                        UnaryOperator.identity(),
                        this::watch)
                : GatewayRunner.serve(config, mutant.factory(), mutant::change, mutant::heard, this::watch);
    }

    private void watch(Gateway gateway) {
        for (EventExecutor loop : gateway.eventLoops()) {
            ProcessorWaitWatch.start((EventLoop) loop, this::printNotRun);
        }
        ProcessorWaitWatch engine = new ProcessorWaitWatch(this::printNotRun);
        gateway.eventLoops()
                .scheduleWithFixedDelay(
                        () -> gateway.runOnEngine(engine),
                        ProcessorWaitWatch.HEARTBEAT_MILLIS,
                        ProcessorWaitWatch.HEARTBEAT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void printNotRun(long millis) {
        System.out.println(System.nanoTime() + "\t" + NOT_RUN + "\tgw=" + name + "\tms=" + millis);
    }
}

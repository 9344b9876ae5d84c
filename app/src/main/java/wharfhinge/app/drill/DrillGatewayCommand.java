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

/**
 * The command {@code drill-gateway}, which only drills start: runs a gateway that reports when its threads waited for a processor, if
 * wanted with one safeguard disabled.
 */
@Command(
        name = "drill-gateway",
        hidden = true,
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs a gateway for fault injection tests, if wanted with one safeguard disabled.")
public final class DrillGatewayCommand implements Callable<Integer> {
    /** Event name of a trace line on standard output: a thread of the gateway waited for a processor. */
    static final String PROCESSOR_WAIT = "gw-not-run";

    @Option(names = "--config", required = true, paramLabel = "FILE", description = "Gateway settings, XML file.")
    private Path config;

    @Option(names = "--name", required = true, description = "Name of the gateway in the trace.")
    private String name;

    @Option(
            names = "--mutant",
            description = "Safeguard to disable, one of ${COMPLETION-CANDIDATES}; none if left out.")
    private Mutant mutant;

    @Override
    public Integer call() throws InterruptedException {
        return mutant == null
                ? GatewayRunner.serve(
                        config,
                        DispatcherFactory.CACHE_AWARE,
                        UnaryOperator.identity(),
                        UnaryOperator.identity(),
                        this::watchProcessorWaits)
                : GatewayRunner.serve(
                        config,
                        mutant.dispatchers(),
                        mutant::changeConfig,
                        mutant::wrapEndpointSource,
                        this::watchProcessorWaits);
    }

    private void watchProcessorWaits(Gateway gateway) {
        for (EventExecutor loop : gateway.eventLoops()) {
            ProcessorWaitWatch.start((EventLoop) loop, this::printProcessorWait);
        }
        ProcessorWaitWatch engine = new ProcessorWaitWatch(this::printProcessorWait);
        gateway.eventLoops()
                .scheduleWithFixedDelay(
                        () -> gateway.runOnEngine(engine),
                        ProcessorWaitWatch.HEARTBEAT_MILLIS,
                        ProcessorWaitWatch.HEARTBEAT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void printProcessorWait(long millis) {
        System.out.println(System.nanoTime() + "\t" + PROCESSOR_WAIT + "\tgw=" + name + "\tms=" + millis);
    }
}

package wharfhinge.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.engine.DispatcherFactory;

/** The command {@code serve}: runs a gateway until it gets a signal to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Runs a gateway until it gets a TERM or INT signal; then it completes the calls in flight and exits.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "Gateway settings, XML file.")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        return GatewayRunner.serve(
                config,
                DispatcherFactory.CACHE_AWARE,
                UnaryOperator.identity(),
                UnaryOperator.identity(),
                gateway -> {});
    }
}

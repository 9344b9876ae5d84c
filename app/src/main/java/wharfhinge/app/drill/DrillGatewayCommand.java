package wharfhinge.app.drill;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.app.Serving;

/** A gateway with a guard broken on purpose; only drills start it. */
@Command(
        name = "drill-gateway",
        hidden = true,
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "A gateway with one guard broken on purpose, for drills.")
public final class DrillGatewayCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The settings.")
    private Path config;

    @Option(names = "--mutant", required = true, description = "One of ${COMPLETION-CANDIDATES}.")
    private Mutant mutant;

    @Override
    public Integer call() throws InterruptedException {
        return Serving.serve(config, mutant.factory(), mutant::change, mutant::heard);
    }
}

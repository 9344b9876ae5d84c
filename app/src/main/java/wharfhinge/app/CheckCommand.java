package wharfhinge.app;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wharfhinge.config.GatewayConfig;
import wharfhinge.config.InvalidConfigurationException;

/** The command {@code check}: validates gateway settings files. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Checks gateway settings files and prints every error; exits with 1 if there is any.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Gateway settings files, XML.")
    private List<Path> files;

    @Override
    public Integer call() {
        int exitCode = Program.OK;
        for (Path file : files) {
            try {
                GatewayConfig config = GatewayConfig.load(file);
                System.out.println(file + ": valid, gateway " + config.name());
            } catch (InvalidConfigurationException e) {
                System.out.println(e.getMessage());
                exitCode = Program.FAILURE;
            }
        }
        return exitCode;
    }
}

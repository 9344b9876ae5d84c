package wharfhinge.app;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wharfhinge.config.GatewayConfig;
import wharfhinge.config.InvalidConfigurationException;

/** Checks settings files. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Checks settings files and prints all that is wrong with them; exits with 1 if anything is.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Settings files.")
    private List<Path> files;

    @Override
    public Integer call() {
        int code = Program.OK;
        for (Path file : files) {
            try {
                GatewayConfig config = GatewayConfig.load(file);
                System.out.println(file + ": well, gateway " + config.name());
            } catch (InvalidConfigurationException e) {
                System.out.println(e.getMessage());
                code = Program.WANTING;
            }
        }
        return code;
    }
}

package wharfhinge.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.platform.PlatformProcess;

/** The command {@code platform}: runs a dispatcher on the platform; an environment variable names its configuration. */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs a dispatcher on the platform; its configuration is the JSON file that PROXY_CONFIG names. "
                + "HUP reloads the address of the control feed, TERM answers the requests in flight and exits.")
final class PlatformCommand implements Callable<Integer> {
    private static final String CONFIG = "PROXY_CONFIG";

    @Option(
            names = "--rehearse",
            paramLabel = "FILE",
            description = "Configuration, JSON file: starts with it, runs the warm-up and exits; "
                    + "the build creates the class data archive in such a run.")
    private Path warmUpConfig;

    @Override
    public Integer call() throws InterruptedException {
        if (warmUpConfig == null) {
            return serve();
        }
        Logs.configure(false, "info");
        int exitCode = new PlatformProcess().runWarmUpOnly(warmUpConfig);
        Logs.flush();
        return exitCode;
    }

    /** Installs the signal handlers before anything else; the command line is not parsed before that. */
    static int serve() throws InterruptedException {
        PlatformProcess process = new PlatformProcess();
        Logs.configure(false, "info");
        Logs.warningsOnly("wharfhinge.answers"); // no log line per call
        String file = System.getenv(CONFIG);
        if (file == null) {
            System.err.println("wharfhinge: " + CONFIG + " is not set");
            return Program.USAGE;
        }
        int exitCode = process.run(Path.of(file));
        Logs.flush();
        return exitCode;
    }
}

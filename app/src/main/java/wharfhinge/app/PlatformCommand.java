package wharfhinge.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.platform.PlatformProcess;

/** Serves on the platform, as its environment says. */
@Command(
        name = "platform",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Runs a dispatcher on the platform: its configuration is the JSON file that PROXY_CONFIG names. "
                + "HUP reads the control feed's address anew, TERM answers what came and ends.")
final class PlatformCommand implements Callable<Integer> {
    private static final String CONFIG = "PROXY_CONFIG";

    @Option(
            names = "--rehearse",
            paramLabel = "FILE",
            description = "Only starts with that configuration, rehearses and stops: "
                    + "the build makes the archive of classes of such a run.")
    private Path rehearse;

    @Override
    public Integer call() throws InterruptedException {
        if (rehearse == null) {
            return serve();
        }
        Logs.set(false, "info");
        int code = new PlatformProcess().runWarmUpOnly(rehearse);
        Logs.flush();
        return code;
    }

    /** Signals are taken before anything else; what is read of the command line comes later, if at all. */
    static int serve() throws InterruptedException {
        PlatformProcess process = new PlatformProcess();
        Logs.set(false, "info");
        Logs.quiet("wharfhinge.answers"); // no line per call
        String file = System.getenv(CONFIG);
        if (file == null) {
            System.err.println("wharfhinge: " + CONFIG + " is not set");
            return Program.USAGE;
        }
        int code = process.run(Path.of(file));
        Logs.flush();
        return code;
    }
}

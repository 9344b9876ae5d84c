package wharfhinge.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.config.XmlFile;
import wharfhinge.worker.WorkerServer;
import wharfhinge.worker.WorkerSettings;

/** The command {@code worker}: runs a worker until it gets a signal to stop. */
@Command(
        name = "worker",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Runs a worker that loads functions and runs calls until it gets a TERM or INT signal; then it drains and exits.")
final class WorkerCommand implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "Worker settings, XML file.")
    private Path config;

    @Option(
            names = "--log-level",
            defaultValue = "info",
            description = "Lowest level that is logged: error, warn, info or debug; default ${DEFAULT-VALUE}.")
    private String level;

    @Override
    public Integer call() throws Exception {
        WorkerSettings settings;
        try {
            settings = XmlFile.load(config, WorkerSettings.schema(), WorkerSettings.class, (read, faults) -> {});
        } catch (InvalidConfigurationException e) {
            System.err.println(e.getMessage());
            return Program.FAILURE;
        }
        Logs.configure(false, level);
        WorkerServer server = new WorkerServer(settings, config.toAbsolutePath().getParent());
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            try {
                                server.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            Logs.flush();
                        },
                        "stop"));
        System.out.println(
                "worker " + settings.name() + " 127.0.0.1:" + server.port() + " boot " + server.incarnation());
        System.gc(); // frees the memory that reading the settings took before calls arrive
        server.await();
        return Program.OK;
    }
}

package wharfhinge.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.worker.store.Store;

/** The command {@code store}: serves function packages to workers until the process is stopped. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Serves the function packages (NAME.pkg) of a folder to workers until stopped.")
final class StoreCommand implements Callable<Integer> {
    @Option(names = "--folder", required = true, paramLabel = "FOLDER", description = "Folder with the packages.")
    private Path folder;

    @Option(
            names = "--port",
            defaultValue = "8600",
            description = "Port on the loopback address; default ${DEFAULT-VALUE}.")
    private int port;

    @Option(
            names = "--most",
            defaultValue = "64",
            description = "Limit of concurrent fetches, beyond which it answers 503; " + "default ${DEFAULT-VALUE}.")
    private int most;

    @Override
    public Integer call() throws InterruptedException {
        if (!Files.isDirectory(folder)) {
            System.err.println("--folder: found " + folder + ", allowed: a folder");
            return Program.FAILURE;
        }
        try (Store store = new Store(LoopbackServers.group(2), port, folder, most)) {
            System.out.println("store 127.0.0.1:" + store.port());
            new CountDownLatch(1).await();
        }
        return Program.OK;
    }
}

package wharfhinge.app.drill;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wharfhinge.app.drill.function.SimulatedFunction;
import wharfhinge.standin.LoadClients;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Trace;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Keys;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageBuilder;
import wharfhinge.worker.store.Store;

/** A package store with a signed package for each function of a scenario, and worker processes that fetch from it. */
final class WorkerProcessFleet implements AutoCloseable {
    private static final int HOT_FUNCTIONS = 10;
    private static final double START_TIME_SHARE =
            0.4; // of a load's time; in the emulated fleet the fetch takes the rest

    private final EventLoopGroup group;
    private final Path folder;
    private final int maxFetches;
    private final int storePort;
    private final List<WorkerProcess> workers = new ArrayList<>();
    private Store store;

    WorkerProcessFleet(EventLoopGroup group, Scenario scenario, Path folder, Trace trace) throws IOException {
        this.group = group;
        this.folder = folder;
        this.maxFetches = scenario.store().maxFetches();
        Files.createDirectories(folder.resolve("packages"));
        Keys.generate(folder.resolve("publisher"));
        for (LoadClients.CallClass callClass : scenario.offeredTraffic().classes()) {
            for (int i = 0; i < scenario.offeredTraffic().functions() + HOT_FUNCTIONS; i++) {
                int hotIndex = i - scenario.offeredTraffic().functions();
                publish(
                        folder,
                        callClass.name() + "-" + (hotIndex < 0 ? Integer.toString(i) : "hot" + hotIndex),
                        (int) callClass.memoryMb(),
                        callClass.lanes(),
                        callClass.effect(),
                        (long) (callClass.loadMillis() * START_TIME_SHARE));
            }
        }
        store = new Store(group, 0, folder.resolve("packages"), maxFetches);
        storePort = store.port();
        for (int i = 0; i < scenario.workers().count(); i++) {
            String name = "worker" + i;
            int port;
            try (ServerSocket socket = new ServerSocket(0)) {
                port = socket.getLocalPort();
            }
            workers.add(
                    new WorkerProcess(name, port, folder, settings(scenario, name), scenario.worker(i, false), trace));
        }
    }

    /** Writes a signed package of {@link SimulatedFunction} into the folder of the package store. */
    static void publish(Path folder, String function, int memoryMb, int lanes, String effect, long startMillis)
            throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        String classFile = SimulatedFunction.class.getName().replace('.', '/') + ".class";
        try (InputStream in = SimulatedFunction.class.getClassLoader().getResourceAsStream(classFile)) {
            files.put("classes/" + classFile, in.readAllBytes());
        }
        files.put("classes/start-ms", Long.toString(startMillis).getBytes(StandardCharsets.US_ASCII));
        files.put(
                "classes/told",
                folder.resolve("told").toAbsolutePath().toString().getBytes(StandardCharsets.UTF_8));
        Manifest manifest = new Manifest(
                function, "1", SimulatedFunction.class.getName(), memoryMb, lanes, effect, 60_000, 10_000, Map.of());
        try (OutputStream out = Files.newOutputStream(folder.resolve("packages").resolve(function + ".pkg"))) {
            PackageBuilder.write(manifest, files, Keys.privateKey(folder.resolve("publisher")), out);
        } catch (InvalidPackageException e) {
            throw new IOException(e);
        }
    }

    private String settings(Scenario scenario, String name) {
        Scenario.Workers workerSettings = scenario.workers();
        return String.format(
                """
            <worker xmlns="urn:wharfhinge:worker:1" name="%s">
              <listen port="PORT"/>
              <memory copies-mb="%d" own-mb="400"/>
              <calls queue="%d" not-loaded="%s" further-copies="%s" keep-ms="%d"/>
              <loads at-once="%d" line="%d" fetch-ms="3000"/>
              <store url="http://127.0.0.1:%d" fresh-ms="2000"/>
              <images folder="%s.images" most-mb="64"/>
              <keys><key file="publisher.pub"/></keys>
              <reports refresh-ms="%d"/>
              <drain within-ms="2000"/>
              <events file="%s.events"/>
            </worker>
            """,
                name,
                (int) workerSettings.memoryMb(),
                workerSettings.queue(),
                workerSettings.notLoaded(),
                workerSettings.notLoaded().equals("load") ? "own" : "order",
                workerSettings.keepMillis(),
                workerSettings.loadsAtOnce(),
                2 * workerSettings.loadsAtOnce(),
                storePort,
                name,
                workerSettings.reportMillis(),
                name);
    }

    /** Starts all workers, as many in parallel as there are processors. */
    List<WorkerProcess> start() throws IOException, InterruptedException {
        ParallelActions.applyToAll(workers, Runtime.getRuntime().availableProcessors(), worker -> worker.start(false));
        return workers;
    }

    /** All worker processes. */
    List<WorkerProcess> processes() {
        return workers;
    }

    /** Closes the package store, or opens it again on the same port. */
    synchronized void shut(boolean closed) {
        if (closed) {
            store.close();
        } else {
            store = new Store(group, storePort, folder.resolve("packages"), maxFetches);
        }
    }

    @Override
    public void close() throws InterruptedException {
        for (WorkerProcess worker : workers) {
            worker.close();
        }
        store.close();
    }

    /** Stops all workers in parallel, as an operator does. */
    void stop() throws IOException, InterruptedException {
        ParallelActions.applyToAll(workers, workers.size(), WorkerProcess::stop);
    }
}

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
import wharfhinge.app.drill.function.Work;
import wharfhinge.standin.LoadClients;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Trace;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Keys;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageBuilder;
import wharfhinge.worker.store.Store;

/** A store with a signed package for each function of a day, and worker processes that fetch from it. */
final class RealFleet implements AutoCloseable {
    private static final int HOT = 10;
    private static final double START_SHARE = 0.4; // of a load's time; the scripted fleet's fetch has the rest

    private final EventLoopGroup group;
    private final Path folder;
    private final int most;
    private final int storePort;
    private final List<WorkerProcess> workers = new ArrayList<>();
    private Store store;

    RealFleet(EventLoopGroup group, Scenario day, Path folder, Trace trace) throws IOException {
        this.group = group;
        this.folder = folder;
        this.most = day.store().most();
        Files.createDirectories(folder.resolve("packages"));
        Keys.generate(folder.resolve("publisher"));
        for (LoadClients.CallClass type : day.offered().classes()) {
            for (int i = 0; i < day.offered().functions() + HOT; i++) {
                int hot = i - day.offered().functions();
                publish(
                        folder,
                        type.name() + "-" + (hot < 0 ? Integer.toString(i) : "hot" + hot),
                        (int) type.memoryMb(),
                        type.lanes(),
                        type.effect(),
                        (long) (type.loadMillis() * START_SHARE));
            }
        }
        store = new Store(group, 0, folder.resolve("packages"), most);
        storePort = store.port();
        for (int i = 0; i < day.workers().count(); i++) {
            String name = "worker" + i;
            int port;
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            workers.add(new WorkerProcess(name, port, folder, settings(day, name), day.worker(i, false), trace));
        }
    }

    /** Packs {@link Work} as a function. */
    static void publish(Path folder, String function, int memoryMb, int lanes, String effect, long startMillis)
            throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        String path = Work.class.getName().replace('.', '/') + ".class";
        try (InputStream in = Work.class.getClassLoader().getResourceAsStream(path)) {
            files.put("classes/" + path, in.readAllBytes());
        }
        files.put("classes/start-ms", Long.toString(startMillis).getBytes(StandardCharsets.US_ASCII));
        files.put(
                "classes/told",
                folder.resolve("told").toAbsolutePath().toString().getBytes(StandardCharsets.UTF_8));
        Manifest about =
                new Manifest(function, "1", Work.class.getName(), memoryMb, lanes, effect, 60_000, 10_000, Map.of());
        try (OutputStream out = Files.newOutputStream(folder.resolve("packages").resolve(function + ".pkg"))) {
            PackageBuilder.write(about, files, Keys.privateKey(folder.resolve("publisher")), out);
        } catch (InvalidPackageException e) {
            throw new IOException(e);
        }
    }

    private String settings(Scenario day, String name) {
        Scenario.Workers w = day.workers();
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
                (int) w.memoryMb(),
                w.queue(),
                w.notLoaded(),
                w.notLoaded().equals("load") ? "own" : "order",
                w.keepMillis(),
                w.loadsAtOnce(),
                2 * w.loadsAtOnce(),
                storePort,
                name,
                w.reportMillis(),
                name);
    }

    /** Starts all, as many at once as there are processors. */
    List<WorkerProcess> start() throws IOException, InterruptedException {
        Together.all(workers, Runtime.getRuntime().availableProcessors(), worker -> worker.start(false));
        return workers;
    }

    /** All of them. */
    List<WorkerProcess> processes() {
        return workers;
    }

    /** Shuts the store, or opens it again under its address. */
    synchronized void shut(boolean now) {
        if (now) {
            store.close();
        } else {
            store = new Store(group, storePort, folder.resolve("packages"), most);
        }
    }

    @Override
    public void close() throws InterruptedException {
        for (WorkerProcess worker : workers) {
            worker.close();
        }
        store.close();
    }

    /** Ends all as an operator would. */
    void stop() throws IOException, InterruptedException {
        Together.all(workers, workers.size(), WorkerProcess::stop);
    }
}

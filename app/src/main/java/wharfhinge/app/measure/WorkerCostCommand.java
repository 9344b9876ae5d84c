package wharfhinge.app.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.app.drill.WorkerProcess;
import wharfhinge.standin.Http2Caller;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.Trace;
import wharfhinge.standin.WorkerModel;
import wharfhinge.worker.api.CopyContext;
import wharfhinge.worker.api.Function;
import wharfhinge.worker.api.Invocation;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Keys;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageBuilder;
import wharfhinge.worker.store.Store;

/** Measures this project's worker: load time by phase, calls per second and memory without copies. */
@Command(
        name = "worker",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures a worker process on loopback: load time by phase, calls per second through one warm copy with 1, 8 and 64 "
                        + "lanes (concurrent calls of the copy) compared with the same function called in-process, and the resident "
                        + "memory of a worker without copies.")
public final class WorkerCostCommand implements Callable<Integer> {
    private static final int LOADS = 40;
    private static final int MEMORY_MB = 64;

    @Option(
            names = "--seconds",
            defaultValue = "4",
            description = "Duration of each part in seconds, after as much warm-up. Default ${DEFAULT-VALUE}.")
    private int seconds;

    /** Function that returns the SHA-256 digest of its input: a few microseconds of work. */
    public static final class Digest implements Function {
        private CopyContext context;

        @Override
        public void start(CopyContext copyContext) {
            context = copyContext;
        }

        @Override
        public byte[] call(Invocation call) throws Exception {
            byte[] digest = java.security.MessageDigest.getInstance("SHA-256").digest(call.input());
            context.memory().put(1, digest[0]);
            return digest;
        }
    }

    @Override
    public Integer call() throws Exception {
        EventLoopGroup group = LoopbackServers.group(2);
        Path folder = Files.createTempDirectory("wharfhinge-measure");
        Files.createDirectories(folder.resolve("packages"));
        Keys.generate(folder.resolve("publisher"));
        for (int lanes : new int[] {1, 8, 64}) {
            publish(folder, "lanes-" + lanes, lanes, 1 << 10);
        }
        for (int i = 0; i < LOADS; i++) {
            publish(folder, "load-" + i, 1, 4 << 20);
        }
        System.out.printf(
                "%d processors; %d s of each part after as much warm-up%n",
                Runtime.getRuntime().availableProcessors(), seconds);
        try (Store store = new Store(group, 0, folder.resolve("packages"), 64)) {
            WorkerProcess worker =
                    new WorkerProcess("w", 0, folder, settings(store.port()), spec(), new Trace(System::nanoTime));
            worker.start(false);
            try {
                Thread.sleep(1000);
                System.out.printf(
                        "memory of an empty worker: %d MB resident (wanted under 80)%n",
                        residentKb(worker.pid()) / 1024);
                Http2Caller caller = new Http2Caller(group, worker.port());
                measureLoads(caller);
                double inProcessRate = measureInProcess();
                System.out.printf("same function in-process, one thread: %8.0f calls/s%n", inProcessRate);
                for (int lanes : new int[] {1, 8, 64}) {
                    runClosedLoop(caller, "lanes-" + lanes, lanes);
                    double rate = runClosedLoop(caller, "lanes-" + lanes, lanes);
                    System.out.printf(
                            "through a worker, %2d lanes, %2d calls open: %8.0f calls/s, %.3f of in-process%n",
                            lanes, lanes, rate, rate / inProcessRate);
                }
                System.out.printf(
                        "memory of the worker beside its copies, after it all: %d MB resident%n",
                        (residentKb(worker.pid()) - memoryAccounting(caller).get("resident_kb")) / 1024);
            } finally {
                worker.stop();
            }
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return Program.OK;
    }

    private static WorkerModel.Spec spec() {
        return new WorkerModel.Spec("z", "k", 0, 1, 1, 512, 64, 4, 60_000, true, 1, 1, 1, 1, 200, false, 1, 1);
    }

    private static String settings(int store) {
        return String.format(
                """
            <worker xmlns="urn:wharfhinge:worker:1" name="w">
              <listen port="PORT"/>
              <memory copies-mb="512" own-mb="400"/>
              <calls queue="1000" further-copies="order"/>
              <store url="http://127.0.0.1:%d" fresh-ms="1"/>
              <images folder="images"/>
              <keys><key file="publisher.pub"/></keys>
            </worker>
            """,
                store);
    }

    private static void publish(Path folder, String name, int lanes, int padding)
            throws IOException, InvalidPackageException {
        Map<String, byte[]> files = new TreeMap<>();
        String path = Digest.class.getName().replace('.', '/') + ".class";
        try (InputStream in = Digest.class.getClassLoader().getResourceAsStream(path)) {
            files.put("classes/" + path, in.readAllBytes());
        }
        byte[] noise = new byte[padding];
        new java.util.Random(name.hashCode()).nextBytes(noise);
        files.put("classes/model", noise);
        try (OutputStream out = Files.newOutputStream(folder.resolve("packages").resolve(name + ".pkg"))) {
            PackageBuilder.write(
                    new Manifest(
                            name,
                            "1",
                            Digest.class.getName(),
                            MEMORY_MB,
                            lanes,
                            "idempotent",
                            10_000,
                            10_000,
                            Map.of()),
                    files,
                    Keys.privateKey(folder.resolve("publisher")),
                    out);
        }
    }

    private static Map<String, Long> memoryAccounting(Http2Caller caller) throws Exception {
        Map<String, Long> accounting = new HashMap<>();
        new String(
                        caller.send(HttpMethod.GET, "/memory", new byte[0])
                                .get(5, TimeUnit.SECONDS)
                                .body(),
                        StandardCharsets.US_ASCII)
                .lines()
                .map(l -> l.split(" "))
                .forEach(f -> accounting.put(f[0], Long.parseLong(f[1])));
        return accounting;
    }

    /** Loads the packages one after the other; the first half is warm-up. */
    private static void measureLoads(Http2Caller caller) throws Exception {
        Map<String, Long> before = Map.of();
        for (int i = 0; i < LOADS; i++) {
            if (i == LOADS / 2) {
                before = memoryAccounting(caller);
            }
            caller.send(HttpMethod.POST, "/call/load-" + i, new byte[8]).get(30, TimeUnit.SECONDS);
        }
        Map<String, Long> after = memoryAccounting(caller);
        double loads = after.get("loads_done") - before.get("loads_done");
        System.out.printf(
                "a load of a package of 4 MB and %d MB of memory (mean of %.0f): fetch %.1f ms, verify %.1f ms, start "
                        + "%.1f ms%n",
                MEMORY_MB,
                loads,
                millisPerLoad(before, after, "fetch_us", loads),
                millisPerLoad(before, after, "verify_us", loads),
                millisPerLoad(before, after, "start_us", loads));
    }

    private static double millisPerLoad(Map<String, Long> before, Map<String, Long> after, String phase, double loads) {
        return (after.get(phase) - before.get(phase)) / 1000.0 / loads;
    }

    /** Calls per second of the function called directly, on one thread. */
    private double measureInProcess() throws Exception {
        Digest function = new Digest();
        function.start(new CopyContext("f", "1", ByteBuffer.allocateDirect(1 << 20)));
        byte[] input = new byte[256];
        long calls = 0;
        long begin = System.nanoTime();
        for (int part = 0; part < 2; part++) { // part 0 is the warm-up
            calls = 0;
            begin = System.nanoTime();
            while (System.nanoTime() - begin < seconds * 1_000_000_000L) {
                function.call(new Invocation("c", 0, input, Long.MAX_VALUE, () -> false));
                calls++;
            }
        }
        return calls * 1e9 / (System.nanoTime() - begin);
    }

    /** Calls per second that are served with a fixed number in flight: each response sends the next call. */
    private double runClosedLoop(Http2Caller caller, String function, int inFlight) throws Exception {
        AtomicLong served = new AtomicLong();
        long begin = System.nanoTime();
        long end = begin + seconds * 1_000_000_000L;
        CountDownLatch finished = new CountDownLatch(inFlight);
        for (int i = 0; i < inFlight; i++) {
            sendNext(caller, function, end, served, finished);
        }
        finished.await(seconds + 30, TimeUnit.SECONDS);
        return served.get() * 1e9 / (System.nanoTime() - begin);
    }

    private static void sendNext(
            Http2Caller caller, String function, long end, AtomicLong served, CountDownLatch finished) {
        caller.send(HttpMethod.POST, "/call/" + function, new byte[256]).whenComplete((response, failure) -> {
            if (failure == null && response.outcome().equals("served")) {
                served.incrementAndGet();
            }
            if (System.nanoTime() < end) {
                sendNext(caller, function, end, served, finished);
            } else {
                finished.countDown();
            }
        });
    }

    private static long residentKb(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return -1;
    }
}

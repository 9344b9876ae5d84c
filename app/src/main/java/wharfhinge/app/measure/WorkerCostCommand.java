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
import wharfhinge.standin.H2Caller;
import wharfhinge.standin.Net;
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

/** Measures the project's own worker: loads by their parts, calls a second, memory of an empty one. */
@Command(
        name = "worker",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures a worker process on loopback: what loads take by their parts, calls a second through one warm copy "
                        + "beside the same function called in-process, and at 1, 8 and 64 lanes, and what an empty worker holds.")
public final class WorkerCostCommand implements Callable<Integer> {
    private static final int LOADS = 40;
    private static final int MEMORY_MB = 64;

    @Option(
            names = "--seconds",
            defaultValue = "4",
            description = "Of each part, after as much warm-up. Default ${DEFAULT-VALUE}.")
    private int seconds;

    /** Answers what came, after a digest of it: some microseconds of work. */
    public static final class Digest implements Function {
        private CopyContext context;

        @Override
        public void start(CopyContext given) {
            context = given;
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
        EventLoopGroup group = Net.group(2);
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
                        "memory of an empty worker: %d MB resident (wanted under 80)%n", rss(worker.pid()) / 1024);
                H2Caller caller = new H2Caller(group, worker.port());
                loads(caller);
                double inProcess = inProcess();
                System.out.printf("same function in-process, one thread: %8.0f calls/s%n", inProcess);
                for (int lanes : new int[] {1, 8, 64}) {
                    closed(caller, "lanes-" + lanes, lanes);
                    double rate = closed(caller, "lanes-" + lanes, lanes);
                    System.out.printf(
                            "through a worker, %2d lanes, %2d calls open: %8.0f calls/s, %.3f of in-process%n",
                            lanes, lanes, rate, rate / inProcess);
                }
                System.out.printf(
                        "memory of the worker beside its copies, after it all: %d MB resident%n",
                        (rss(worker.pid()) - books(caller).get("resident_kb")) / 1024);
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

    private static Map<String, Long> books(H2Caller caller) throws Exception {
        Map<String, Long> books = new HashMap<>();
        new String(
                        caller.send(HttpMethod.GET, "/memory", new byte[0])
                                .get(5, TimeUnit.SECONDS)
                                .body(),
                        StandardCharsets.US_ASCII)
                .lines()
                .map(l -> l.split(" "))
                .forEach(f -> books.put(f[0], Long.parseLong(f[1])));
        return books;
    }

    /** One load after the other; the first half warms up. */
    private static void loads(H2Caller caller) throws Exception {
        Map<String, Long> before = Map.of();
        for (int i = 0; i < LOADS; i++) {
            if (i == LOADS / 2) {
                before = books(caller);
            }
            caller.send(HttpMethod.POST, "/call/load-" + i, new byte[8]).get(30, TimeUnit.SECONDS);
        }
        Map<String, Long> after = books(caller);
        double loads = after.get("loads_done") - before.get("loads_done");
        System.out.printf(
                "a load of a package of 4 MB and %d MB of memory (mean of %.0f): fetch %.1f ms, verify %.1f ms, start "
                        + "%.1f ms%n",
                MEMORY_MB,
                loads,
                per(before, after, "fetch_us", loads),
                per(before, after, "verify_us", loads),
                per(before, after, "start_us", loads));
    }

    private static double per(Map<String, Long> before, Map<String, Long> after, String part, double loads) {
        return (after.get(part) - before.get(part)) / 1000.0 / loads;
    }

    private double inProcess() throws Exception {
        Digest function = new Digest();
        function.start(new CopyContext("f", "1", ByteBuffer.allocateDirect(1 << 20)));
        byte[] input = new byte[256];
        long calls = 0;
        long begin = System.nanoTime();
        for (int part = 0; part < 2; part++) { // the first warms up
            calls = 0;
            begin = System.nanoTime();
            while (System.nanoTime() - begin < seconds * 1_000_000_000L) {
                function.call(new Invocation("c", 0, input, Long.MAX_VALUE, () -> false));
                calls++;
            }
        }
        return calls * 1e9 / (System.nanoTime() - begin);
    }

    /** So many calls open at all times: each answer sends the next. */
    private double closed(H2Caller caller, String function, int open) throws Exception {
        AtomicLong served = new AtomicLong();
        long begin = System.nanoTime();
        long end = begin + seconds * 1_000_000_000L;
        CountDownLatch over = new CountDownLatch(open);
        for (int i = 0; i < open; i++) {
            next(caller, function, end, served, over);
        }
        over.await(seconds + 30, TimeUnit.SECONDS);
        return served.get() * 1e9 / (System.nanoTime() - begin);
    }

    private static void next(H2Caller caller, String function, long end, AtomicLong served, CountDownLatch over) {
        caller.send(HttpMethod.POST, "/call/" + function, new byte[256]).whenComplete((answer, failed) -> {
            if (failed == null && answer.outcome().equals("served")) {
                served.incrementAndGet();
            }
            if (System.nanoTime() < end) {
                next(caller, function, end, served, over);
            } else {
                over.countDown();
            }
        });
    }

    private static long rss(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return -1;
    }
}

package wharfhinge.app.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.standin.HttpCaller;

/** Measures what the gateway adds: direct, a bare pass-through, the gateway; each its own process, all in one run. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures on loopback what the gateway adds to a call, beside a call straight to the worker and a bare "
                        + "pass-through with random choice. Latency counts from the time a call was due, so that a stall is not left out.",
        subcommands = {
            EchoCommand.class,
            ChainCostCommand.class,
            ColdStartCommand.class,
            WorkerCostCommand.class,
            DecisionCostCommand.class,
            FleetRateCommand.class,
            ReplayCostCommand.class,
            ClientCostCommand.class
        })
public final class MeasureCommand implements Callable<Integer> {
    private static final int WORKERS = 8;
    private static final int FUNCTIONS = 64;
    private static final int HELD = 4000;
    private static final byte[] BODY = new byte[256];

    @Option(names = "--rate", defaultValue = "3000", description = "Calls a second. Default ${DEFAULT-VALUE}.")
    private int rate;

    @Option(names = "--seconds", defaultValue = "10", description = "Of each part. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--warm-up",
            defaultValue = "8",
            description = "Seconds before each part. Default ${DEFAULT-VALUE}.")
    private int warmUp;

    @Option(
            names = "--log-level",
            defaultValue = "info",
            description = "The gateway's: with info, a line for each answer "
                    + "is written to a file. Default ${DEFAULT-VALUE}.")
    private String logLevel;

    @Override
    public Integer call() throws Exception {
        try (Bench bench = new Bench(WORKERS)) {
            EventLoopGroup group = bench.group;
            Bench.Started gateway = bench.gateway("plain", null, "", logLevel, 1);
            int gatewayPort = gateway.port();
            int capturingPort = bench.gateway("capturing", null, "<capture folder=\"captures\"/>", logLevel, 1)
                    .port();
            System.out.printf(
                    "%d processors; %d calls/s for %d s after %d s of warm-up, %d workers, %d functions, %d bytes; "
                            + "gateway logs at %s%n",
                    Runtime.getRuntime().availableProcessors(),
                    rate,
                    seconds,
                    warmUp,
                    WORKERS,
                    FUNCTIONS,
                    BODY.length,
                    logLevel);
            Map<String, Integer> ways = new LinkedHashMap<>();
            ways.put("direct", bench.echoes().direct());
            ways.put("pass-through", bench.echoes().passThrough());
            ways.put("gateway", gatewayPort);
            ways.put("capturing", capturingPort);
            Map<String, Histogram> latencies = new LinkedHashMap<>();
            for (Map.Entry<String, Integer> way : ways.entrySet()) {
                HttpCaller caller = new HttpCaller(group, way.getValue());
                paced(caller, warmUp, way.getKey() + ", warming up");
                latencies.put(way.getKey(), paced(caller, seconds, way.getKey()));
            }
            System.out.println("way            p50 us   p90 us   p99 us p99.9 us   max us   calls");
            latencies.forEach((way, h) -> System.out.printf(
                    "%-13s %7d  %7d  %7d  %7d  %7d  %6d%n",
                    way, us(h, 50), us(h, 90), us(h, 99), us(h, 99.9), h.getMaxValue() / 1000, h.getTotalCount()));
            Histogram direct = latencies.get("direct");
            Histogram through = latencies.get("gateway");
            System.out.printf(
                    "added by the gateway over direct: median %d us (wanted under 300), p99 %d us (wanted under "
                            + "2000)%n",
                    us(through, 50) - us(direct, 50), us(through, 99) - us(direct, 99));
            Map<String, Double> highest = new LinkedHashMap<>();
            System.out.printf(
                    "added by capturing: median %d us, p99 %d us (wanted under 100)%n",
                    us(latencies.get("capturing"), 50) - us(through, 50),
                    us(latencies.get("capturing"), 99) - us(through, 99));
            for (String way : List.of("pass-through", "gateway", "capturing", "pass-through", "gateway", "capturing")) {
                HttpCaller caller = new HttpCaller(group, ways.get(way));
                closed(caller, 2);
                highest.merge(way, closed(caller, seconds / 2.0), Math::max);
            }
            highest.forEach(
                    (way, most) -> System.out.printf("highest rate, 64 calls open: %-13s %8.0f calls/s%n", way, most));
            System.out.printf(
                    "gateway over pass-through: %.2f (wanted 0.7)%n",
                    highest.get("gateway") / highest.get("pass-through"));
            Map<String, Long> captured = figures(capturingPort);
            System.out.printf(
                    "capturing over gateway: %.2f (wanted over 0.95), %d bytes a call on disk, %d frames lost%n",
                    highest.get("capturing") / highest.get("gateway"),
                    captured.get("capture_bytes") / captured.get("taken"),
                    captured.get("capture_lost"));
            status(gatewayPort);
            memory(gateway.process(), gatewayPort, group);
            return Program.OK;
        }
    }

    private static long us(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1000;
    }

    private static Map<CharSequence, String> headers(String deadline) {
        return Map.of(
                "wh-class",
                "safe",
                "wh-lanes",
                "64",
                "wh-memory-mb",
                "10",
                "wh-load-ms",
                "1",
                "wh-deadline-ms",
                deadline);
    }

    private static void send(HttpCaller caller, int number, String deadline, Runnable answered, Runnable broken) {
        send(caller, number % FUNCTIONS, FUNCTIONS, deadline, answered, broken);
    }

    /** One call; {@code answered} is told of 200 alone. */
    static void send(
            HttpCaller caller, int number, int functions, String deadline, Runnable answered, Runnable broken) {
        caller.call(
                HttpMethod.POST, "/v1/call/f" + number % functions, headers(deadline), BODY, new HttpCaller.Reply() {
                    @Override
                    public void answered(int status, HttpHeaders headers, byte[] body) {
                        (status == 200 ? answered : broken).run();
                    }

                    @Override
                    public void broken(boolean wasSent) {
                        broken.run();
                    }
                });
    }

    /** Calls at a fixed pace; each one's latency counts from when it was due. */
    private Histogram paced(HttpCaller caller, int length, String what) {
        ConcurrentHistogram histogram = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
        LongAdder failed = new LongAdder();
        long gap = 1_000_000_000L / rate;
        int calls = rate * length;
        long begin = System.nanoTime();
        LongAdder open = new LongAdder();
        for (int i = 0; i < calls; i++) {
            long due = begin + i * gap;
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                if (left > 60_000) {
                    LockSupport.parkNanos(left - 60_000);
                } else {
                    Thread.onSpinWait();
                }
            }
            open.increment();
            send(
                    caller,
                    i,
                    "2000",
                    () -> {
                        histogram.recordValue(System.nanoTime() - due);
                        open.decrement();
                    },
                    () -> {
                        failed.increment();
                        open.decrement();
                    });
        }
        for (int waits = 0; open.sum() > 0 && waits < 300; waits++) {
            LockSupport.parkNanos(10_000_000);
        }
        if (failed.sum() > 0) {
            System.out.println(what + ": not served " + failed.sum() + " of " + calls);
        }
        return histogram;
    }

    private static double closed(HttpCaller caller, double length) throws InterruptedException {
        return closed(caller, length, FUNCTIONS);
    }

    /** As many calls as come through with 64 open. */
    static double closed(HttpCaller caller, double length, int functions) throws InterruptedException {
        Semaphore room = new Semaphore(64);
        LongAdder done = new LongAdder();
        long begin = System.nanoTime();
        for (int i = 0; System.nanoTime() - begin < length * 1e9; i++) {
            room.acquire();
            send(
                    caller,
                    i,
                    functions,
                    "2000",
                    () -> {
                        done.increment();
                        room.release();
                    },
                    room::release);
        }
        double rate = done.sum() / ((System.nanoTime() - begin) / 1e9);
        room.acquire(64);
        return rate;
    }

    private static Map<String, Long> figures(int port) throws IOException {
        Map<String, Long> figures = new LinkedHashMap<>();
        try (var in =
                URI.create("http://127.0.0.1:" + port + "/v1/status").toURL().openStream()) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(l -> l.split(" "))
                    .forEach(f -> figures.put(f[0], Long.parseLong(f[1])));
        }
        return figures;
    }

    private static void status(int port) throws IOException {
        try (var in =
                URI.create("http://127.0.0.1:" + port + "/v1/status").toURL().openStream()) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            text.lines()
                    .filter(l -> l.startsWith("event_age") || l.startsWith("decision"))
                    .forEach(l -> System.out.println("gateway " + l));
        }
    }

    /** Live heap after a full collection, and resident memory, before and with idle connections and open calls. */
    private static void memory(Process gateway, int port, EventLoopGroup group) throws Exception {
        Thread.sleep(4000); // past the deadlines of the calls before, whose timers still stand until then
        long heap = heap(gateway);
        long resident = resident(gateway);
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < HELD; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            idle.add(socket);
        }
        Thread.sleep(500);
        System.out.printf(
                "an idle connection: %d bytes of heap, %d bytes resident%n",
                (heap(gateway) - heap) / HELD, (resident(gateway) - resident) / HELD);
        for (Socket socket : idle) {
            socket.close();
        }
        Thread.sleep(1000);
        heap = heap(gateway);
        resident = resident(gateway);
        HttpCaller caller = new HttpCaller(group, port);
        LongAdder over = new LongAdder();
        for (int i = 0; i < HELD; i++) {
            caller.call(HttpMethod.POST, "/v1/call/silent", headers("20000"), BODY, new HttpCaller.Reply() {
                @Override
                public void answered(int status, HttpHeaders headers, byte[] body) {
                    over.increment();
                }

                @Override
                public void broken(boolean wasSent) {
                    over.increment();
                }
            });
            if (i % 100 == 0) {
                Thread.sleep(5);
            }
        }
        Thread.sleep(1000);
        long open = HELD - over.sum();
        System.out.printf(
                "an open call with its connection: %d bytes of heap, %d bytes resident (%d open)%n",
                (heap(gateway) - heap) / Math.max(1, open), (resident(gateway) - resident) / Math.max(1, open), open);
    }

    private static long heap(Process process) throws IOException {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(process.pid()),
                        "GC.class_histogram")
                .start();
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(jcmd.getInputStream(), StandardCharsets.UTF_8))) {
            return in.lines()
                    .filter(l -> l.startsWith("Total"))
                    .mapToLong(l -> Long.parseLong(l.trim().split("\\s+")[2]))
                    .findFirst()
                    .orElse(0);
        }
    }

    private static long resident(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElse(0);
    }
}

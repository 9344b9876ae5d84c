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

/** Measures what a gateway adds to a call, compared in one run with a direct call and a bare pass-through in other processes. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures on loopback the latency that the gateway adds to a call, compared with a call sent directly to the worker "
                        + "and with a bare pass-through that picks a worker at random. Latency counts from the time when a call was "
                        + "due, so that stalls are included.",
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
    private static final int HELD_CONNECTIONS = 4000;
    private static final byte[] BODY = new byte[256];

    @Option(names = "--rate", defaultValue = "3000", description = "Calls per second. Default ${DEFAULT-VALUE}.")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Duration of each part in seconds. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--warm-up",
            defaultValue = "8",
            description = "Warm-up before each part in seconds. Default ${DEFAULT-VALUE}.")
    private int warmUp;

    @Option(
            names = "--log-level",
            defaultValue = "info",
            description = "Log level of the gateway; with info it writes a line for each response to a file. "
                    + "Default ${DEFAULT-VALUE}.")
    private String logLevel;

    @Override
    public Integer call() throws Exception {
        try (LoopbackTestbed testbed = new LoopbackTestbed(WORKERS)) {
            EventLoopGroup group = testbed.group;
            LoopbackTestbed.RunningGateway gateway = testbed.gateway("plain", null, "", logLevel, 1);
            int gatewayPort = gateway.port();
            int capturingPort = testbed.gateway("capturing", null, "<capture folder=\"captures\"/>", logLevel, 1)
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
            Map<String, Integer> portByTarget = new LinkedHashMap<>();
            portByTarget.put("direct", testbed.echoPorts().direct());
            portByTarget.put("pass-through", testbed.echoPorts().passThrough());
            portByTarget.put("gateway", gatewayPort);
            portByTarget.put("capturing", capturingPort);
            Map<String, Histogram> latencies = new LinkedHashMap<>();
            for (Map.Entry<String, Integer> target : portByTarget.entrySet()) {
                HttpCaller caller = new HttpCaller(group, target.getValue());
                runAtFixedRate(caller, warmUp, target.getKey() + ", warming up");
                latencies.put(target.getKey(), runAtFixedRate(caller, seconds, target.getKey()));
            }
            System.out.println("way            p50 us   p90 us   p99 us p99.9 us   max us   calls");
            latencies.forEach((target, h) -> System.out.printf(
                    "%-13s %7d  %7d  %7d  %7d  %7d  %6d%n",
                    target, us(h, 50), us(h, 90), us(h, 99), us(h, 99.9), h.getMaxValue() / 1000, h.getTotalCount()));
            Histogram directLatency = latencies.get("direct");
            Histogram gatewayLatency = latencies.get("gateway");
            System.out.printf(
                    "added by the gateway over direct: median %d us (wanted under 300), p99 %d us (wanted under "
                            + "2000)%n",
                    us(gatewayLatency, 50) - us(directLatency, 50), us(gatewayLatency, 99) - us(directLatency, 99));
            Map<String, Double> highestRates = new LinkedHashMap<>();
            System.out.printf(
                    "added by capturing: median %d us, p99 %d us (wanted under 100)%n",
                    us(latencies.get("capturing"), 50) - us(gatewayLatency, 50),
                    us(latencies.get("capturing"), 99) - us(gatewayLatency, 99));
            for (String target :
                    List.of("pass-through", "gateway", "capturing", "pass-through", "gateway", "capturing")) {
                HttpCaller caller = new HttpCaller(group, portByTarget.get(target));
                runClosedLoop(caller, 2);
                highestRates.merge(target, runClosedLoop(caller, seconds / 2.0), Math::max);
            }
            highestRates.forEach((target, rate) ->
                    System.out.printf("highest rate, 64 calls open: %-13s %8.0f calls/s%n", target, rate));
            System.out.printf(
                    "gateway over pass-through: %.2f (wanted 0.7)%n",
                    highestRates.get("gateway") / highestRates.get("pass-through"));
            Map<String, Long> captureMetrics = readMetrics(capturingPort);
            System.out.printf(
                    "capturing over gateway: %.2f (wanted over 0.95), %d bytes a call on disk, %d frames lost%n",
                    highestRates.get("capturing") / highestRates.get("gateway"),
                    captureMetrics.get("capture_bytes") / captureMetrics.get("taken"),
                    captureMetrics.get("capture_lost"));
            printEventMetrics(gatewayPort);
            printMemory(gateway.process(), gatewayPort, group);
            return Program.OK;
        }
    }

    /** A percentile of the latency, in microseconds. */
    private static long us(Histogram latency, double percentile) {
        return latency.getValueAtPercentile(percentile) / 1000;
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

    private static void send(HttpCaller caller, int number, String deadline, Runnable onServed, Runnable onFailure) {
        send(caller, number % FUNCTIONS, FUNCTIONS, deadline, onServed, onFailure);
    }

    /** Sends one call; {@code onServed} runs only for a response with status 200, {@code onFailure} in all other cases. */
    static void send(
            HttpCaller caller, int number, int functions, String deadline, Runnable onServed, Runnable onFailure) {
        caller.call(
                HttpMethod.POST,
                "/v1/call/f" + number % functions,
                headers(deadline),
                BODY,
                new HttpCaller.ResponseHandler() {
                    @Override
                    public void answered(int status, HttpHeaders headers, byte[] body) {
                        (status == 200 ? onServed : onFailure).run();
                    }

                    @Override
                    public void broken(boolean wasSent) {
                        onFailure.run();
                    }
                });
    }

    /** Sends calls at a fixed rate; the latency of each counts from the time when it was due. */
    private Histogram runAtFixedRate(HttpCaller caller, int durationSeconds, String label) {
        ConcurrentHistogram histogram = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(60), 3);
        LongAdder failed = new LongAdder();
        long intervalNanos = 1_000_000_000L / rate;
        int calls = rate * durationSeconds;
        long begin = System.nanoTime();
        LongAdder inFlight = new LongAdder();
        for (int i = 0; i < calls; i++) {
            long due = begin + i * intervalNanos;
            for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
                if (left > 60_000) {
                    LockSupport.parkNanos(left - 60_000);
                } else {
                    Thread.onSpinWait();
                }
            }
            inFlight.increment();
            send(
                    caller,
                    i,
                    "2000",
                    () -> {
                        histogram.recordValue(System.nanoTime() - due);
                        inFlight.decrement();
                    },
                    () -> {
                        failed.increment();
                        inFlight.decrement();
                    });
        }
        for (int waits = 0; inFlight.sum() > 0 && waits < 300; waits++) {
            LockSupport.parkNanos(10_000_000);
        }
        if (failed.sum() > 0) {
            System.out.println(label + ": not served " + failed.sum() + " of " + calls);
        }
        return histogram;
    }

    private static double runClosedLoop(HttpCaller caller, double durationSeconds) throws InterruptedException {
        return runClosedLoop(caller, durationSeconds, FUNCTIONS);
    }

    /** Calls per second that are served with 64 calls in flight at all times. */
    static double runClosedLoop(HttpCaller caller, double durationSeconds, int functions) throws InterruptedException {
        Semaphore semaphore = new Semaphore(64);
        LongAdder served = new LongAdder();
        long begin = System.nanoTime();
        for (int i = 0; System.nanoTime() - begin < durationSeconds * 1e9; i++) {
            semaphore.acquire();
            send(
                    caller,
                    i,
                    functions,
                    "2000",
                    () -> {
                        served.increment();
                        semaphore.release();
                    },
                    semaphore::release);
        }
        double rate = served.sum() / ((System.nanoTime() - begin) / 1e9);
        semaphore.acquire(64);
        return rate;
    }

    private static Map<String, Long> readMetrics(int port) throws IOException {
        Map<String, Long> metrics = new LinkedHashMap<>();
        try (var in =
                URI.create("http://127.0.0.1:" + port + "/v1/status").toURL().openStream()) {
            new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(l -> l.split(" "))
                    .forEach(f -> metrics.put(f[0], Long.parseLong(f[1])));
        }
        return metrics;
    }

    /** Prints the gateway's metrics of event age and of decision time. */
    private static void printEventMetrics(int port) throws IOException {
        try (var in =
                URI.create("http://127.0.0.1:" + port + "/v1/status").toURL().openStream()) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            text.lines()
                    .filter(l -> l.startsWith("event_age") || l.startsWith("decision"))
                    .forEach(l -> System.out.println("gateway " + l));
        }
    }

    /** Prints what an idle connection and a call in flight take of the gateway's live heap (after a full GC) and resident memory. */
    private static void printMemory(Process gateway, int port, EventLoopGroup group) throws Exception {
        Thread.sleep(4000); // until the deadlines of earlier calls have passed: their timers occupy the heap
        long heap = liveHeapBytes(gateway);
        long resident = residentBytes(gateway);
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < HELD_CONNECTIONS; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            idle.add(socket);
        }
        Thread.sleep(500);
        System.out.printf(
                "an idle connection: %d bytes of heap, %d bytes resident%n",
                (liveHeapBytes(gateway) - heap) / HELD_CONNECTIONS,
                (residentBytes(gateway) - resident) / HELD_CONNECTIONS);
        for (Socket socket : idle) {
            socket.close();
        }
        Thread.sleep(1000);
        heap = liveHeapBytes(gateway);
        resident = residentBytes(gateway);
        HttpCaller caller = new HttpCaller(group, port);
        LongAdder ended = new LongAdder();
        for (int i = 0; i < HELD_CONNECTIONS; i++) {
            caller.call(HttpMethod.POST, "/v1/call/silent", headers("20000"), BODY, new HttpCaller.ResponseHandler() {
                @Override
                public void answered(int status, HttpHeaders headers, byte[] body) {
                    ended.increment();
                }

                @Override
                public void broken(boolean wasSent) {
                    ended.increment();
                }
            });
            if (i % 100 == 0) {
                Thread.sleep(5);
            }
        }
        Thread.sleep(1000);
        long open = HELD_CONNECTIONS - ended.sum();
        System.out.printf(
                "an open call with its connection: %d bytes of heap, %d bytes resident (%d open)%n",
                (liveHeapBytes(gateway) - heap) / Math.max(1, open),
                (residentBytes(gateway) - resident) / Math.max(1, open),
                open);
    }

    private static long liveHeapBytes(Process process) throws IOException {
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

    private static long residentBytes(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * 1024)
                .findFirst()
                .orElse(0);
    }
}

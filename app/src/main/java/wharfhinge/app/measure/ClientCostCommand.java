package wharfhinge.app.measure;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import org.openjdk.jmh.util.Statistics;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.client.Call;
import wharfhinge.client.Result;
import wharfhinge.client.Transport;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.client.core.AttemptResult;
import wharfhinge.client.core.ClientPolicy;
import wharfhinge.client.grpc.GrpcTransport;
import wharfhinge.client.http.HttpTransport;

/** What the client library adds to its bare transport, over both protocols. */
@Command(
        name = "clients",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures calls a second with 64 open and processor time a call through one gateway: by the bare transport and by the "
                        + "client library, over HTTP/2 and over gRPC, in turns of one run; with --certificates over TLS.")
final class ClientCostCommand implements Callable<Integer> {
    private static final int OPEN = 64;
    private static final int WORKERS = 8;
    private static final int ROUNDS = 3;
    static final Call CALL = Call.safe("f", "safe", Duration.ofSeconds(2))
            .body(new byte[256], "text/plain")
            .copy(10, 64, 1)
            .build();

    @Option(names = "--seconds", defaultValue = "4", description = "Of each turn. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--certificates",
            paramLabel = "PEM",
            description = "The gateway's certificate for 127.0.0.1; it is trusted as it is.")
    private Path certificates;

    @Option(names = "--key", paramLabel = "PEM", description = "Its key, PKCS 8.")
    private Path key;

    @Option(
            names = "--jmh",
            description = "One call at a time with JMH in a process of its own, in the clear, in place of turns.")
    private boolean jmh;

    private interface Way {
        void call(Runnable ended);
    }

    @Override
    public Integer call() throws Exception {
        try (Bench bench = new Bench(WORKERS)) {
            String tls = certificates == null
                    ? ""
                    : "<tls certificates='" + certificates.toAbsolutePath() + "' key='" + key.toAbsolutePath() + "'/>";
            Bench.Started gateway = bench.gateway("gateway", null, tls + "<grpc port='0'/>", "info", 1);
            String http = "127.0.0.1:" + gateway.port();
            String grpc = "127.0.0.1:" + gateway.grpcPort();
            if (jmh) {
                return sampled(http, grpc);
            }
            Map<String, Way> ways = new LinkedHashMap<>();
            List<AutoCloseable> open = new ArrayList<>();
            ways.put("http transport", bare(transport(true), http, open));
            ways.put("http library", library(transport(true), http, open));
            ways.put("grpc transport", bare(transport(false), grpc, open));
            ways.put("grpc library", library(transport(false), grpc, open));
            Map<String, double[]> best = new LinkedHashMap<>();
            for (int round = 0; round <= ROUNDS; round++) {
                for (Map.Entry<String, Way> way : ways.entrySet()) {
                    double[] got = turn(way.getValue());
                    if (round > 0) { // the first is warm-up
                        best.merge(way.getKey(), got, (a, b) -> a[0] >= b[0] ? a : b);
                    }
                }
            }
            System.out.printf(
                    "%d processors shared with gateway and workers; %d open, best of %d turns of %d s, %s%n",
                    Runtime.getRuntime().availableProcessors(),
                    OPEN,
                    ROUNDS,
                    seconds,
                    certificates == null ? "in the clear" : "TLS");
            System.out.println("| way | calls/s | client's processor us a call |");
            System.out.println("| --- | --- | --- |");
            best.forEach((way, got) -> System.out.printf("| %s | %.0f | %.1f |%n", way, got[0], got[1]));
            for (AutoCloseable one : open) {
                one.close();
            }
            return Program.OK;
        }
    }

    private int sampled(String http, String grpc) throws RunnerException {
        System.out.println("| protocol | way | mean us | p50 | p99 |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (RunResult r : new Runner(new OptionsBuilder()
                        .include(ClientBenchmark.class.getName())
                        .param("http", http)
                        .param("grpc", grpc)
                        .forks(1)
                        .warmupIterations(3)
                        .measurementIterations(ROUNDS)
                        .warmupTime(TimeValue.seconds(seconds))
                        .measurementTime(TimeValue.seconds(seconds))
                        .verbosity(VerboseMode.SILENT)
                        .build())
                .run()) {
            Statistics s = r.getPrimaryResult().getStatistics();
            System.out.printf(
                    "| %s | %s | %.0f | %.0f | %.0f |%n",
                    r.getParams().getParam("protocol"),
                    r.getPrimaryResult().getLabel(),
                    s.getMean(),
                    s.getPercentile(50),
                    s.getPercentile(99));
        }
        return Program.OK;
    }

    private Transport transport(boolean http) throws IOException {
        SslContext tls = certificates == null
                ? null
                : http
                        ? HttpTransport.tls(certificates)
                        : GrpcSslContexts.forClient()
                                .trustManager(certificates.toFile())
                                .build();
        return http
                ? new HttpTransport(Duration.ofSeconds(2), 4, 1 << 20, tls, null)
                : new GrpcTransport(Duration.ofSeconds(2), 1 << 20, tls, null);
    }

    private static Way bare(Transport transport, String gateway, List<AutoCloseable> open) {
        open.add(transport);
        return ended -> transport.send(gateway, CALL, CALL.deadline().toNanos(), false, reply -> {
            if (reply.result() != AttemptResult.SERVED) {
                System.out.println("not served: " + reply.reason());
            }
            ended.run();
        });
    }

    private static Way library(Transport transport, String gateway, List<AutoCloseable> open) {
        WharfhingeClient client = new WharfhingeClient(transport, ClientPolicy.DEFAULT, List.of(gateway));
        open.add(client);
        return ended -> client.call(CALL).thenAccept(r -> {
            if (!(r instanceof Result.Served)) {
                System.out.println("not served: " + r);
            }
            ended.run();
        });
    }

    /** Calls a second, and the processor time of this process a call in microseconds. */
    private double[] turn(Way way) throws InterruptedException {
        var system = (com.sun.management.OperatingSystemMXBean)
                java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        Semaphore room = new Semaphore(OPEN);
        LongAdder done = new LongAdder();
        long cpu = system.getProcessCpuTime();
        long begin = System.nanoTime();
        while (System.nanoTime() - begin < seconds * 1_000_000_000L) {
            room.acquire();
            way.call(() -> {
                done.increment();
                room.release();
            });
        }
        double took = (System.nanoTime() - begin) / 1e9;
        room.acquire(OPEN);
        return new double[] {done.sum() / took, (system.getProcessCpuTime() - cpu) / 1000.0 / done.sum()};
    }
}

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

/** Measures what the client library adds to its bare transport, over both protocols. */
@Command(
        name = "clients",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures calls per second with 64 in flight and client processor time per call through one gateway, with the bare "
                        + "transport and with the client library, over HTTP/2 and over gRPC, alternating within one run; with "
                        + "--certificates over TLS.")
final class ClientCostCommand implements Callable<Integer> {
    private static final int CALLS_IN_FLIGHT = 64;
    private static final int WORKERS = 8;
    private static final int ROUNDS = 3;
    static final Call CALL = Call.safe("f", "safe", Duration.ofSeconds(2))
            .body(new byte[256], "text/plain")
            .copy(10, 64, 1)
            .build();

    @Option(
            names = "--seconds",
            defaultValue = "4",
            description = "Duration of each measurement in seconds. Default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--certificates",
            paramLabel = "PEM",
            description = "The gateway's certificate for 127.0.0.1; the client uses it as its trust anchor.")
    private Path certificates;

    @Option(names = "--key", paramLabel = "PEM", description = "Private key of the certificate, in PKCS 8.")
    private Path key;

    @Option(
            names = "--jmh",
            description =
                    "Measures the latency of one call at a time instead, with JMH in a separate process and without TLS.")
    private boolean jmh;

    private interface Caller {
        void call(Runnable onEnd);
    }

    @Override
    public Integer call() throws Exception {
        try (LoopbackTestbed testbed = new LoopbackTestbed(WORKERS)) {
            String tls = certificates == null
                    ? ""
                    : "<tls certificates='" + certificates.toAbsolutePath() + "' key='" + key.toAbsolutePath() + "'/>";
            LoopbackTestbed.RunningGateway gateway =
                    testbed.gateway("gateway", null, tls + "<grpc port='0'/>", "info", 1);
            String http = "127.0.0.1:" + gateway.port();
            String grpc = "127.0.0.1:" + gateway.grpcPort();
            if (jmh) {
                return runJmh(http, grpc);
            }
            Map<String, Caller> callers = new LinkedHashMap<>();
            List<AutoCloseable> resources = new ArrayList<>();
            callers.put("http transport", transportCaller(transport(true), http, resources));
            callers.put("http library", libraryCaller(transport(true), http, resources));
            callers.put("grpc transport", transportCaller(transport(false), grpc, resources));
            callers.put("grpc library", libraryCaller(transport(false), grpc, resources));
            Map<String, double[]> best = new LinkedHashMap<>();
            for (int round = 0; round <= ROUNDS; round++) {
                for (Map.Entry<String, Caller> caller : callers.entrySet()) {
                    double[] result = measure(caller.getValue());
                    if (round > 0) { // round 0 is the warm-up
                        best.merge(caller.getKey(), result, (a, b) -> a[0] >= b[0] ? a : b);
                    }
                }
            }
            System.out.printf(
                    "%d processors shared with gateway and workers; %d open, best of %d turns of %d s, %s%n",
                    Runtime.getRuntime().availableProcessors(),
                    CALLS_IN_FLIGHT,
                    ROUNDS,
                    seconds,
                    certificates == null ? "in the clear" : "TLS");
            System.out.println("| way | calls/s | client's processor us a call |");
            System.out.println("| --- | --- | --- |");
            best.forEach((name, result) -> System.out.printf("| %s | %.0f | %.1f |%n", name, result[0], result[1]));
            for (AutoCloseable resource : resources) {
                resource.close();
            }
            return Program.OK;
        }
    }

    private int runJmh(String http, String grpc) throws RunnerException {
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
            Statistics statistics = r.getPrimaryResult().getStatistics();
            System.out.printf(
                    "| %s | %s | %.0f | %.0f | %.0f |%n",
                    r.getParams().getParam("protocol"),
                    r.getPrimaryResult().getLabel(),
                    statistics.getMean(),
                    statistics.getPercentile(50),
                    statistics.getPercentile(99));
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

    private static Caller transportCaller(Transport transport, String gateway, List<AutoCloseable> resources) {
        resources.add(transport);
        return onEnd -> transport.send(gateway, CALL, CALL.deadline().toNanos(), false, reply -> {
            if (reply.result() != AttemptResult.SERVED) {
                System.out.println("not served: " + reply.reason());
            }
            onEnd.run();
        });
    }

    private static Caller libraryCaller(Transport transport, String gateway, List<AutoCloseable> resources) {
        WharfhingeClient client = new WharfhingeClient(transport, ClientPolicy.DEFAULT, List.of(gateway));
        resources.add(client);
        return onEnd -> client.call(CALL).thenAccept(r -> {
            if (!(r instanceof Result.Served)) {
                System.out.println("not served: " + r);
            }
            onEnd.run();
        });
    }

    /** Returns the calls per second and this process's processor time per call in microseconds. */
    private double[] measure(Caller caller) throws InterruptedException {
        var system = (com.sun.management.OperatingSystemMXBean)
                java.lang.management.ManagementFactory.getOperatingSystemMXBean();
        Semaphore semaphore = new Semaphore(CALLS_IN_FLIGHT);
        LongAdder ended = new LongAdder();
        long cpu = system.getProcessCpuTime();
        long begin = System.nanoTime();
        while (System.nanoTime() - begin < seconds * 1_000_000_000L) {
            semaphore.acquire();
            caller.call(() -> {
                ended.increment();
                semaphore.release();
            });
        }
        double elapsedSeconds = (System.nanoTime() - begin) / 1e9;
        semaphore.acquire(CALLS_IN_FLIGHT);
        return new double[] {ended.sum() / elapsedSeconds, (system.getProcessCpuTime() - cpu) / 1000.0 / ended.sum()};
    }
}

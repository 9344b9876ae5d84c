package wharfhinge.app.drill;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import wharfhinge.app.Program;
import wharfhinge.standin.Trace;

/** One gateway in a process of its own, to be killed, stopped and started again. */
final class GatewayProcess {
    private static final long START_MS = 20_000;
    /** A whole line: a killed process may leave half of one. */
    private static final Pattern SPAN_NOT_RUN =
            Pattern.compile("\\d+\t" + DrillGatewayCommand.NOT_RUN + "\tgw=\\w+\tms=\\d+");

    private final String name;
    private final int port;
    private final Path config;
    private final Mutant mutant;
    private final Trace trace;
    private Process process;

    GatewayProcess(String name, int port, Path config, Mutant mutant, Trace trace) {
        this.name = name;
        this.port = port;
        this.config = config;
        this.mutant = mutant;
        this.trace = trace;
    }

    String name() {
        return name;
    }

    int port() {
        return port;
    }

    /** Starts all beside each other; returns once they take connections. */
    static void startAll(List<GatewayProcess> gateways) throws IOException, InterruptedException {
        Together.all(gateways, gateways.size(), GatewayProcess::start);
    }

    /** Ends all beside each other, as an operator would. */
    static void stopAll(List<GatewayProcess> gateways) throws InterruptedException {
        try {
            Together.all(gateways, gateways.size(), GatewayProcess::stop);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts it; returns once it takes connections. */
    void start() throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Program.MAIN));
        command.addAll(List.of("drill-gateway", "--name", name, "--config", config.toString()));
        if (mutant != null) {
            command.addAll(List.of("--mutant", mutant.name()));
        }
        Path log = log();
        long before = Files.exists(log) ? Files.size(log) : 0;
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        long end = System.nanoTime() + START_MS * 1_000_000L;
        while (System.nanoTime() < end && process.isAlive()) {
            if (saidReady(log, before)) {
                trace.note("gw-up", "gw", name);
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " did not start, see " + log);
    }

    /** Whether it said so from that byte on; a connection would not tell which of two on one port took it. */
    private static boolean saidReady(Path log, long from) throws IOException {
        try (InputStream in = Files.newInputStream(log)) {
            in.skipNBytes(from);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).contains(" takes calls on ");
        }
    }

    private Path log() {
        return config.resolveSibling(name + ".log");
    }

    /** Lines for the trace of spans in which the machine did not run it. */
    List<String> spansNotRun() throws IOException {
        try (Stream<String> lines = Files.lines(log(), StandardCharsets.UTF_8)) {
            return lines.filter(SPAN_NOT_RUN.asMatchPredicate()).toList();
        }
    }

    /** As a crash would. */
    void kill() throws InterruptedException {
        trace.note("gw-down", "gw", name);
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Stands still, or goes on. */
    void stall(boolean now) throws IOException, InterruptedException {
        if (now) {
            trace.note("gw-stalled", "gw", name);
        }
        new ProcessBuilder("kill", now ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .start()
                .waitFor();
        if (!now) {
            trace.note("gw-resumed", "gw", name);
        }
    }

    /** Ends it as an operator would. */
    void stop() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroy();
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }
}

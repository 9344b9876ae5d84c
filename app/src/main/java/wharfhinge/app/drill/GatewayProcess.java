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

/** A gateway in a process of its own, which can be killed, stopped, suspended and started again. */
final class GatewayProcess {
    private static final long START_TIMEOUT_MS = 20_000;
    /** Matches complete lines only: a killed process may leave a part of one. */
    private static final Pattern PROCESSOR_WAIT_LINE =
            Pattern.compile("\\d+\t" + DrillGatewayCommand.PROCESSOR_WAIT + "\tgw=\\w+\tms=\\d+");

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

    /** Starts all gateways in parallel; returns once they take connections. */
    static void startAll(List<GatewayProcess> gateways) throws IOException, InterruptedException {
        ParallelActions.applyToAll(gateways, gateways.size(), GatewayProcess::start);
    }

    /** Stops all gateways in parallel, as an operator does. */
    static void stopAll(List<GatewayProcess> gateways) throws InterruptedException {
        try {
            ParallelActions.applyToAll(gateways, gateways.size(), GatewayProcess::stop);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Starts the process; returns once it takes connections. */
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
        long logSizeBefore = Files.exists(log) ? Files.size(log) : 0;
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        long startDeadline = System.nanoTime() + START_TIMEOUT_MS * 1_000_000L;
        while (System.nanoTime() < startDeadline && process.isAlive()) {
            if (hasLoggedReady(log, logSizeBefore)) {
                trace.note("gw-up", "gw", name);
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " did not start, see " + log);
    }

    /**
     * Whether the log says from that byte on that the gateway takes calls. A trial connection would not do: two processes may share the
     * port, and it would not show which of them accepted it.
     */
    private static boolean hasLoggedReady(Path log, long fromByte) throws IOException {
        try (InputStream in = Files.newInputStream(log)) {
            in.skipNBytes(fromByte);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).contains(" takes calls on ");
        }
    }

    private Path log() {
        return config.resolveSibling(name + ".log");
    }

    /** Trace lines that the gateway printed about waits of its threads for a processor. */
    List<String> processorWaitLines() throws IOException {
        try (Stream<String> lines = Files.lines(log(), StandardCharsets.UTF_8)) {
            return lines.filter(PROCESSOR_WAIT_LINE.asMatchPredicate()).toList();
        }
    }

    /** Kills the process, as a crash does. */
    void kill() throws InterruptedException {
        trace.note("gw-down", "gw", name);
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
    }

    /** Suspends the process, or resumes it. */
    void stall(boolean on) throws IOException, InterruptedException {
        if (on) {
            trace.note("gw-stalled", "gw", name);
        }
        new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .start()
                .waitFor();
        if (!on) {
            trace.note("gw-resumed", "gw", name);
        }
    }

    /** Stops the process as an operator does: with TERM, then by force. */
    void stop() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroy();
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }
}

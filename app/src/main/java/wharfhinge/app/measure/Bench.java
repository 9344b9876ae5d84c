package wharfhinge.app.measure;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import wharfhinge.app.Program;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.standin.Net;
import wharfhinge.standin.RosterStandIn;
import wharfhinge.standin.Trace;

/** What measurements on loopback are made on: echo workers in one process, their roster, gateways in processes of their own. */
final class Bench implements AutoCloseable {
    private static final int WAITS = 500;

    /** Where the echo process answers: itself, its bare pass-through, its workers. */
    record Echoes(int direct, int passThrough, int[] workers) {}

    /** A gateway that takes calls. */
    record Started(Process process, int port, Path log) {
        /** Its gRPC port. */
        int grpcPort() throws IOException {
            return portAfter(log, "takes gRPC on /127.0.0.1:");
        }
    }

    final EventLoopGroup group = Net.group(2);
    final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final RosterStandIn roster;
    private final Echoes echoes;

    Bench(int workers) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("wharfhinge-measure");
        Process echo = start(null, null, "measure", "echo", "--workers", Integer.toString(workers));
        int[] ports = ports(new BufferedReader(new InputStreamReader(echo.getInputStream(), StandardCharsets.UTF_8)));
        echoes = new Echoes(ports[0], ports[1], java.util.Arrays.copyOfRange(ports, 2, 2 + workers));
        roster = new RosterStandIn(group, 0, 0, new Trace(System::nanoTime));
        for (int port : echoes.workers) {
            roster.report(new RosterEntry("127.0.0.1:" + port, "z", "k", 0, RosterEntry.State.UP, 1, 86_000_000, "b0"));
        }
    }

    Echoes echoes() {
        return echoes;
    }

    /**
     * Starts a gateway and waits until it takes calls.
     *
     * @param jar  the program of another build, or null for this one
     * @param more elements of its settings
     */
    Started gateway(String name, Path jar, String more, String logLevel, int groupSize)
            throws IOException, InterruptedException {
        return gateway(name, jar, more, logLevel, groupSize, "");
    }

    /** The same; {@code clients} are further settings of the clients' side. */
    Started gateway(String name, Path jar, String more, String logLevel, int groupSize, String clients)
            throws IOException, InterruptedException {
        Path own = Files.createDirectories(folder.resolve(name));
        Path log = own.resolve("gateway.log");
        Process process = start(
                log,
                jar,
                "serve",
                "--config",
                settings(own, more, logLevel, groupSize, clients).toString());
        for (int i = 0; i < WAITS; i++) {
            int port = portAfter(log, "takes calls on /127.0.0.1:");
            if (port > 0) {
                Thread.sleep(500); // it has its list
                return new Started(process, port, log);
            }
            Thread.sleep(20);
        }
        throw new IOException("the gateway did not start, see " + log);
    }

    private Process start(Path log, Path jar, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms512m",
                "-Xmx512m",
                "-cp",
                jar == null ? System.getProperty("java.class.path") : jar.toString(),
                Program.MAIN));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(log == null ? ProcessBuilder.Redirect.PIPE : ProcessBuilder.Redirect.to(log.toFile()))
                .start();
        processes.add(process);
        return process;
    }

    private static int[] ports(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.startsWith("ports ")) {
            line = in.readLine();
        }
        if (line == null) {
            throw new IOException("the echo process did not start");
        }
        return Stream.of(line.substring(6).split(" "))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    /** The port that a line of a log ends with, or 0 where there is none yet. */
    private static int portAfter(Path log, String words) throws IOException {
        return Files.readAllLines(log).stream()
                .filter(l -> l.contains(words))
                .mapToInt(l ->
                        Integer.parseInt(l.substring(l.lastIndexOf(':') + 1).trim()))
                .findFirst()
                .orElse(0);
    }

    private Path settings(Path own, String more, String logLevel, int groupSize, String clients) throws IOException {
        Path file = own.resolve("gateway.xml");
        Files.writeString(
                file,
                """
            <wharfhinge xmlns="urn:wharfhinge:settings:1">
              <gateway name="measured" zone="z" group="GROUP"/>
              <clients port="0" max-open="20000" max-connections="20000" stop-within-ms="100"CLIENTS/>
              <workers probes="false" max-connections="64">
                <kind name="k" memory-mb="100000"/>
                <loading not-loaded="load" keep-ms="60000"/>
              </workers>
              <zones names="z"/>
              <classes><class name="safe" effect="idempotent" aim-ms="1000" give-up-ms="20000"/></classes>
              <rules stop-sending-within-ms="2000" cold-from="0.2" warm-after-ms="8000" overload-factor="2"
                     tip-after-ms="1000"/>
              <roster url="http://127.0.0.1:PORT" remembered="list"/>
              MORE<log level="LEVEL"/>
            </wharfhinge>
            """
                        .replace("PORT", Integer.toString(roster.port()))
                        .replace("LEVEL", logLevel)
                        .replace("MORE", more)
                        .replace("CLIENTS", clients)
                        .replace("GROUP", Integer.toString(groupSize)));
        return file;
    }

    @Override
    public void close() {
        processes.forEach(Process::destroy);
        roster.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

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
import wharfhinge.standin.EndpointServiceEmulator;
import wharfhinge.standin.LoopbackServers;
import wharfhinge.standin.Trace;

/** Environment of measurements on loopback: echo workers in one process, an endpoint service, each gateway in its own process. */
final class LoopbackTestbed implements AutoCloseable {
    private static final int MAX_START_POLLS = 500;

    /** Ports of the echo process: of its HTTP/1.1 server, of its bare pass-through and of its workers. */
    record EchoPorts(int direct, int passThrough, int[] workers) {}

    /** A gateway that accepts calls. */
    record RunningGateway(Process process, int port, Path log) {
        /** The port of its gRPC listener. */
        int grpcPort() throws IOException {
            return portInLog(log, "takes gRPC on /127.0.0.1:");
        }
    }

    final EventLoopGroup group = LoopbackServers.group(2);
    final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final EndpointServiceEmulator roster;
    private final EchoPorts echoPorts;

    LoopbackTestbed(int workers) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("wharfhinge-measure");
        Process echo = start(null, null, "measure", "echo", "--workers", Integer.toString(workers));
        int[] ports = ports(new BufferedReader(new InputStreamReader(echo.getInputStream(), StandardCharsets.UTF_8)));
        echoPorts = new EchoPorts(ports[0], ports[1], java.util.Arrays.copyOfRange(ports, 2, 2 + workers));
        roster = new EndpointServiceEmulator(group, 0, 0, new Trace(System::nanoTime));
        for (int port : echoPorts.workers) {
            roster.report(new RosterEntry("127.0.0.1:" + port, "z", "k", 0, RosterEntry.State.UP, 1, 86_000_000, "b0"));
        }
    }

    EchoPorts echoPorts() {
        return echoPorts;
    }

    /**
     * Starts a gateway and waits until it accepts calls.
     *
     * @param jar           the jar of another build, or null for this build
     * @param extraElements further elements of its settings, as XML
     */
    RunningGateway gateway(String name, Path jar, String extraElements, String logLevel, int groupSize)
            throws IOException, InterruptedException {
        return gateway(name, jar, extraElements, logLevel, groupSize, "");
    }

    /** As above, with further attributes of the {@code clients} element of the settings. */
    RunningGateway gateway(
            String name, Path jar, String extraElements, String logLevel, int groupSize, String clientAttributes)
            throws IOException, InterruptedException {
        Path directory = Files.createDirectories(folder.resolve(name));
        Path log = directory.resolve("gateway.log");
        Process process = start(
                log,
                jar,
                "serve",
                "--config",
                settings(directory, extraElements, logLevel, groupSize, clientAttributes)
                        .toString());
        for (int i = 0; i < MAX_START_POLLS; i++) {
            int port = portInLog(log, "takes calls on /127.0.0.1:");
            if (port > 0) {
                Thread.sleep(500); // until it has received the endpoint list
                return new RunningGateway(process, port, log);
            }
            Thread.sleep(20);
        }
        throw new IOException("the gateway did not accept calls within 10 s, see " + log);
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
            throw new IOException("the echo process ended before it printed its ports");
        }
        return Stream.of(line.substring(6).split(" "))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    /** The port at the end of the first log line that contains the text, or 0 if there is no such line yet. */
    private static int portInLog(Path log, String text) throws IOException {
        return Files.readAllLines(log).stream()
                .filter(l -> l.contains(text))
                .mapToInt(l ->
                        Integer.parseInt(l.substring(l.lastIndexOf(':') + 1).trim()))
                .findFirst()
                .orElse(0);
    }

    private Path settings(Path directory, String extraElements, String logLevel, int groupSize, String clientAttributes)
            throws IOException {
        Path file = directory.resolve("gateway.xml");
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
                        .replace("MORE", extraElements)
                        .replace("CLIENTS", clientAttributes)
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

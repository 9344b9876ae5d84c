import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;

/** A dispatcher, started as a process of its own with the line "run" of the deploy file. */
final class Dispatcher {
    final Path config;
    final int port;
    private final String name;
    private final Path log;
    private final Path temporary;
    private Process process;

    Dispatcher(Path temporary, int port) {
        this(temporary, port, "n1");
    }

    /** Each dispatcher has a folder of its own. */
    Dispatcher(Path temporary, int port, String name) {
        this.name = name;
        this.temporary = temporary;
        this.config = temporary.resolve("config.json");
        this.log = temporary.resolve("dispatcher.log");
        this.port = port;
    }

    /** Replaces the configuration file as a whole. */
    void writeConfig(String json) throws IOException {
        Path next = temporary.resolve("config.next");
        Files.writeString(next, json);
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    void start() throws IOException {
        start("/bin/sh", "-c", runLine());
    }

    /** Starts the process on one core, as the platform does. Needs taskset (util-linux). */
    void startOnOneCore() throws IOException {
        int core = Runtime.getRuntime().availableProcessors() - 1;
        start("taskset", "-c", Integer.toString(core), "/bin/sh", "-c", runLine());
    }

    private void start(String... command) throws IOException {
        Path tmp = Files.createDirectories(temporary.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_NAME", name);
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        Record.line("dispatcher started");
    }

    private static String runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no line 'run' in the deploy file");
    }

    /** Waits until PING is answered with fit; false after 30 s. */
    boolean awaitReady() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end && process.isAlive()) {
            try (Client client = new Client(port)) {
                if ("fit".equals(client.ping())) {
                    Record.line("dispatcher ready");
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal by its name, such as HUP or TERM. */
    void signal(String name) throws IOException, InterruptedException {
        Record.line("signal %s", name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    /** Ends the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** Copies the log's lines into the record. */
    void recordLog() throws IOException {
        for (String line : Files.readAllLines(log)) {
            Record.line("log: %s", line);
        }
    }

    static void deleteAll(Path folder) {
        File[] files = folder.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                deleteAll(file.toPath());
            }
        }
        folder.toFile().delete();
    }
}

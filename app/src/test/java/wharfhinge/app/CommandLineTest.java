package wharfhinge.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Commands of the command line: exit codes and printed messages. */
class CommandLineTest {
    private static final String SAMPLE = "../deploy/samples/loads-on-call.xml";

    @TempDir
    private Path folder;

    private record Execution(int exitCode, ByteArrayOutputStream output) {
        String text() {
            return output.toString(StandardCharsets.UTF_8);
        }
    }

    private static Execution run(String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream capture = new PrintStream(output, true, StandardCharsets.UTF_8);
        System.setOut(capture);
        System.setErr(capture);
        try {
            return new Execution(Main.commandLine().execute(arguments), output);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "serve",
                "check",
                "stand-in",
                "drill",
                "measure",
                "stand-in worker",
                "stand-in roster",
                "stand-in store",
                "stand-in fleet",
                "worker",
                "store",
                "package",
                "package build",
                "package inspect",
                "package verify",
                "package key",
                "replay"
            })
    void everyCommand_hasHelpAndVersion(String command) {
        List<String> words = command.isEmpty() ? List.of() : List.of(command.split(" "));
        for (String option : List.of("--help", "--version")) {
            String[] arguments = java.util.stream.Stream.concat(words.stream(), java.util.stream.Stream.of(option))
                    .toArray(String[]::new);
            Execution execution = run(arguments);
            assertEquals(Program.OK, execution.exitCode, command + option);
            assertTrue(execution.text().contains("wharfhinge"), execution.text());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "nonsense", "serve", "serve --config", "drill --mutant none", "check", "stand-in"})
    void wrongUsage_exitsWithTwo(String command) {
        assertEquals(Program.USAGE, run(command.isEmpty() ? new String[0] : command.split(" ")).exitCode);
    }

    @Test
    void check_reportsEveryError() throws Exception {
        assertEquals(Program.OK, run("check", SAMPLE).exitCode);
        Path wrong = folder.resolve("wrong.xml");
        Files.writeString(
                wrong, Files.readString(Path.of(SAMPLE)).replace("8400", "x").replace("idempotent", "y"));
        Execution execution = run("check", SAMPLE, wrong.toString());
        assertEquals(Program.FAILURE, execution.exitCode);
        assertTrue(execution.text().contains("found 'x'") && execution.text().contains("found 'y'"), execution.text());
        assertEquals(Program.FAILURE, run("serve", "--config", wrong.toString()).exitCode);
    }

    @Test
    void unknownScenario_isReportedWithTheAllowedOnes() {
        Execution execution = run("drill", "no-such-day");
        assertEquals(Program.FAILURE, execution.exitCode);
        assertTrue(
                execution
                        .text()
                        .contains(
                                "found 'no-such-day', allowed: [bad-day, calm, loads-on-call, bad-day-chains, chains, workers, forty-workers]"),
                execution.text());
    }

    @Test
    void package_isBuiltSignedInspectedAndVerified() throws Exception {
        String key = folder.resolve("key").toString();
        String other = folder.resolve("other").toString();
        String out = folder.resolve("f.pkg").toString();
        Path classes = Files.createDirectories(folder.resolve("classes/a"));
        Files.write(classes.resolve("B.class"), new byte[] {1, 2, 3});
        assertEquals(Program.OK, run("package", "key", key).exitCode);
        assertEquals(Program.OK, run("package", "key", other).exitCode);
        assertEquals(Program.FAILURE, run("package", "key", key).exitCode, "an existing key is not overwritten");
        Execution built = run(
                "package",
                "build",
                "--classes",
                folder.resolve("classes").toString(),
                "--entry",
                "a.B",
                "--name",
                "f",
                "--memory-mb",
                "8",
                "--sign",
                key,
                "--out",
                out);
        assertEquals(Program.OK, built.exitCode, built.text());
        Execution shown = run("package", "inspect", out);
        assertTrue(shown.text().contains("entry=a.B") && shown.text().contains("# signed"), shown.text());
        assertEquals(Program.OK, run("package", "verify", "--key", key + ".pub", out).exitCode);
        Execution refused = run("package", "verify", "--key", other + ".pub", out);
        assertEquals(Program.FAILURE, refused.exitCode);
        assertTrue(refused.text().contains("none of the 1 trusted keys"), refused.text());
        Execution wrong = run(
                "package",
                "build",
                "--classes",
                folder.resolve("classes").toString(),
                "--entry",
                "a.C",
                "--name",
                "f",
                "--memory-mb",
                "8",
                "--out",
                out);
        assertTrue(
                wrong.exitCode == Program.FAILURE && wrong.text().contains("entry a.C is not among the files"),
                wrong.text());
        assertEquals(
                Program.OK,
                run("package", "verify", out).exitCode,
                "a failed build leaves the existing package in place");
    }

    @Test
    void fileThatIsNoCapture_isReported() throws Exception {
        Path file = Files.writeString(folder.resolve("x.whcap"), "something else\n");
        Execution execution = run("replay", file.toString());
        assertEquals(Program.FAILURE, execution.exitCode);
        assertTrue(execution.text().contains("no capture, found 'something else'"), execution.text());
    }

    @Test
    void workerSettings_reportEveryError() throws Exception {
        Path file = Files.writeString(
                folder.resolve("w.xml"),
                "<worker xmlns='urn:wharfhinge:worker:1' name='w'>\n"
                        + "<listen port='99999'/>\n<memory copies-mb='0'/>\n<store url='ftp://x'/>\n<images folder='i'/>\n</worker>\n");
        Execution execution = run("worker", "--config", file.toString());
        assertEquals(Program.FAILURE, execution.exitCode);
        for (String place : List.of("99999", "'0'", "ftp://x")) {
            assertTrue(execution.text().contains(place), execution.text());
        }
    }
}

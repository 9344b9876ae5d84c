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

/** Commands, their exit codes and what they say. */
class CommandLineTest {
    private static final String SAMPLE = "../deploy/samples/loads-on-call.xml";

    @TempDir
    private Path folder;

    private record Ran(int code, ByteArrayOutputStream printed) {
        String text() {
            return printed.toString(StandardCharsets.UTF_8);
        }
    }

    private static Ran run(String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream both = new PrintStream(printed, true, StandardCharsets.UTF_8);
        System.setOut(both);
        System.setErr(both);
        try {
            return new Ran(Main.commandLine().execute(arguments), printed);
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
    void helpAndVersionAreEverywhere(String command) {
        List<String> words = command.isEmpty() ? List.of() : List.of(command.split(" "));
        for (String option : List.of("--help", "--version")) {
            String[] arguments = java.util.stream.Stream.concat(words.stream(), java.util.stream.Stream.of(option))
                    .toArray(String[]::new);
            Ran ran = run(arguments);
            assertEquals(Program.OK, ran.code, command + option);
            assertTrue(ran.text().contains("wharfhinge"), ran.text());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "nonsense", "serve", "serve --config", "drill --mutant none", "check", "stand-in"})
    void wrongUseIsTwo(String command) {
        assertEquals(Program.USAGE, run(command.isEmpty() ? new String[0] : command.split(" ")).code);
    }

    @Test
    void checkTellsAllThatIsWrong() throws Exception {
        assertEquals(Program.OK, run("check", SAMPLE).code);
        Path wrong = folder.resolve("wrong.xml");
        Files.writeString(
                wrong, Files.readString(Path.of(SAMPLE)).replace("8400", "x").replace("idempotent", "y"));
        Ran ran = run("check", SAMPLE, wrong.toString());
        assertEquals(Program.FAILURE, ran.code);
        assertTrue(ran.text().contains("found 'x'") && ran.text().contains("found 'y'"), ran.text());
        assertEquals(Program.FAILURE, run("serve", "--config", wrong.toString()).code);
    }

    @Test
    void anUnknownDrillIsNamed() {
        Ran ran = run("drill", "no-such-day");
        assertEquals(Program.FAILURE, ran.code);
        assertTrue(
                ran.text()
                        .contains(
                                "found 'no-such-day', allowed: [bad-day, calm, loads-on-call, bad-day-chains, chains, workers, forty-workers]"),
                ran.text());
    }

    @Test
    void aPackageIsBuiltSignedShownAndChecked() throws Exception {
        String key = folder.resolve("key").toString();
        String other = folder.resolve("other").toString();
        String out = folder.resolve("f.pkg").toString();
        Path classes = Files.createDirectories(folder.resolve("classes/a"));
        Files.write(classes.resolve("B.class"), new byte[] {1, 2, 3});
        assertEquals(Program.OK, run("package", "key", key).code);
        assertEquals(Program.OK, run("package", "key", other).code);
        assertEquals(Program.FAILURE, run("package", "key", key).code, "a key is never written over");
        Ran built = run(
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
        assertEquals(Program.OK, built.code, built.text());
        Ran shown = run("package", "inspect", out);
        assertTrue(shown.text().contains("entry=a.B") && shown.text().contains("# signed"), shown.text());
        assertEquals(Program.OK, run("package", "verify", "--key", key + ".pub", out).code);
        Ran refused = run("package", "verify", "--key", other + ".pub", out);
        assertEquals(Program.FAILURE, refused.code);
        assertTrue(refused.text().contains("none of the 1 trusted keys"), refused.text());
        Ran wrong = run(
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
                wrong.code == Program.FAILURE && wrong.text().contains("entry a.C is not among the files"),
                wrong.text());
        assertEquals(Program.OK, run("package", "verify", out).code, "what was there stands");
    }

    @Test
    void whatIsNoCaptureIsNamed() throws Exception {
        Path file = Files.writeString(folder.resolve("x.whcap"), "something else\n");
        Ran ran = run("replay", file.toString());
        assertEquals(Program.FAILURE, ran.code);
        assertTrue(ran.text().contains("no capture, found 'something else'"), ran.text());
    }

    @Test
    void aWorkersSettingsTellAllThatIsWrong() throws Exception {
        Path file = Files.writeString(
                folder.resolve("w.xml"),
                "<worker xmlns='urn:wharfhinge:worker:1' name='w'>\n"
                        + "<listen port='99999'/>\n<memory copies-mb='0'/>\n<store url='ftp://x'/>\n<images folder='i'/>\n</worker>\n");
        Ran ran = run("worker", "--config", file.toString());
        assertEquals(Program.FAILURE, ran.code);
        for (String place : List.of("99999", "'0'", "ftp://x")) {
            assertTrue(ran.text().contains(place), ran.text());
        }
    }
}

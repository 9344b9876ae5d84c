package wharfhinge.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Decisions don't depend on the Java version: a capture made on one JDK replays without a difference on another. */
@Timeout(60)
class OtherJdkTest {
    @Test
    void fixture_replaysOnOtherInstalledJdks() throws Exception {
        Path own = Path.of(System.getProperty("java.home")).toRealPath();
        List<Path> others;
        try (Stream<Path> siblings = Files.list(own.getParent())) {
            others = siblings.filter(p ->
                            !Files.isSymbolicLink(p) && !p.equals(own) && Files.isExecutable(p.resolve("bin/java")))
                    .toList();
        }
        assumeTrue(!others.isEmpty(), "no other JDK is installed beside " + own);
        Path fixture = Path.of("../capture/src/test/resources/wharfhinge/capture/overload.jsonl");
        for (Path other : others) {
            Process replay = new ProcessBuilder(
                            other.resolve("bin/java").toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            Program.MAIN,
                            "replay",
                            fixture.toString())
                    .redirectErrorStream(true)
                    .start();
            String output = new String(replay.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(replay.waitFor(30, TimeUnit.SECONDS));
            assertEquals(0, replay.exitValue(), other + ": " + output);
            assertTrue(output.contains("all decisions are the same"), output);
        }
    }
}

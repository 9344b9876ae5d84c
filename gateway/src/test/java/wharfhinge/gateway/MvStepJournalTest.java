package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.decisions.chain.FinishedSteps.Answer;

/** Finished steps over a crash. */
@Timeout(30)
class MvStepJournalTest {
    private static final long WINDOW = 30_000_000_000L;
    @TempDir
    private Path folder;
    private final AtomicLong wall = new AtomicLong(1_000_000);

    private List<String> restored(Path file) {
        List<String> steps = new ArrayList<>();
        try (MvStepJournal journal = new MvStepJournal(file, WINDOW, wall::get)) {
            journal.restore((age, tenant, key, digest, count, step, answer) -> steps.add(tenant + key + digest + count + step
                + new String(answer.body()) + answer.contentType() + age / 1_000_000));
        }
        return steps;
    }

    @Test
    void whatACrashLeavesIsReadAgain() throws Exception {
        Path file = folder.resolve("deep/steps");
        Path crashed = folder.resolve("crashed");
        try (MvStepJournal journal = new MvStepJournal(file, WINDOW, wall::get)) {
            for (int i = 0; i < 100; i++) {
                journal.finished("t", "k" + i, "d", 2, 0, new Answer(new byte[] {'x'}, "text/plain"));
            }
            Rig.await("all are on disk", () -> {
                try {
                    Files.copy(file, crashed, java.nio.file.StandardCopyOption.REPLACE_EXISTING); // the process dies here
                    return restored(crashed).size() == 100;
                } catch (java.io.IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
        wall.addAndGet(500);
        assertTrue(restored(crashed).contains("tk7d20xtext/plain500"));
    }

    @Test
    void aDamagedFileIsSetAsideAndTheGatewayServes() throws Exception {
        Path file = folder.resolve("steps");
        Files.write(file, "this is no store, whatever it was before".repeat(400).getBytes());
        assertEquals(List.of(), restored(file));
        assertTrue(Files.exists(folder.resolve("steps.damaged")));
    }
}

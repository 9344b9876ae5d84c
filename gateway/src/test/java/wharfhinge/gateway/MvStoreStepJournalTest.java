package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.mvstore.MVStore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.decisions.chain.StepAnswerCache.Answer;

/** The journal of finished steps over a crash. */
@Timeout(30)
class MvStoreStepJournalTest {
    private static final long WINDOW = 30_000_000_000L;

    @TempDir
    private Path folder;

    private final AtomicLong wall = new AtomicLong(1_000_000);

    private List<String> restored(Path file) {
        List<String> steps = new ArrayList<>();
        try (MvStoreStepJournal journal = new MvStoreStepJournal(file, WINDOW, wall::get)) {
            journal.restore((age, tenant, key, digest, count, step, answer) -> steps.add(tenant
                    + key
                    + digest
                    + count
                    + step
                    + new String(answer.body())
                    + answer.contentType()
                    + age / 1_000_000));
        }
        return steps;
    }

    @Test
    void acknowledgedStep_survivesCrash() throws Exception {
        Path file = folder.resolve("deep/steps");
        List<Path> crashed = new CopyOnWriteArrayList<>();
        CountDownLatch kept = new CountDownLatch(100);
        MvStoreStepJournal journal = new MvStoreStepJournal(file, WINDOW, wall::get);
        try (journal) {
            for (int i = 0; i < 100; i++) {
                int step = i;
                assertTrue(
                        journal.recordStep("t", "k" + i, "d", 2, 0, new Answer(new byte[] {'x'}, "text/plain"), () -> {
                            if (step % 20 == 0) {
                                crashed.add(copied(
                                        file,
                                        folder.resolve("crashed" + step))); // the process dies as soon as it was said
                            }
                            kept.countDown();
                        }));
            }
            assertTrue(kept.await(10, TimeUnit.SECONDS));
        }
        assertFalse(
                journal.recordStep("t", "late", "d", 2, 0, new Answer(new byte[0], null), () -> {}),
                "nobody writes any more");
        wall.addAndGet(500);
        for (int i = 0; i < crashed.size(); i++) {
            assertTrue(restored(crashed.get(i)).contains("tk" + 20 * i + "d20xtext/plain500"), "step " + 20 * i);
        }
        assertEquals(5, crashed.size());
    }

    private static Path copied(Path from, Path to) {
        try {
            return Files.copy(from, to);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** A step of the wall clock between two processes is not taken for time that has passed; the second start reads what the first left. */
    @Test
    void wallClockSteppedByAnHourBetweenProcesses_stepIsRestoredWithinItsWindow() throws Exception {
        Path file = folder.resolve("stepped");
        try (MvStoreStepJournal journal = new MvStoreStepJournal(file, WINDOW, wall::get)) {
            assertTrue(journal.recordStep("t", "k", "d", 2, 0, new Answer(new byte[] {'x'}, "a/b"), () -> {}));
        }
        wall.addAndGet(3_600_000);
        assertEquals(List.of("tkd20xa/b15000"), restored(file));
        assertEquals(List.of("tkd20xa/b15000"), restored(file));
        wall.addAndGet(-7_200_000);
        assertEquals(List.of("tkd20xa/b0"), restored(file));
    }

    /** The form on disk outlives versions: a gateway restores what the one before it recorded. */
    @Test
    void recordedStep_keepsItsFormOnDisk() throws Exception {
        Path file = folder.resolve("golden");
        try (MvStoreStepJournal journal = new MvStoreStepJournal(file, WINDOW, wall::get)) {
            assertTrue(journal.recordStep("t", "k", "d", 2, 1, new Answer(new byte[] {7, 8}, "a/b"), () -> {}));
        }
        try (MVStore store = new MVStore.Builder().fileName(file.toString()).open()) {
            byte[] value = store.<String, byte[]>openMap("steps").get("t\nk\n1");
            assertEquals(
                    "00000000000f4240" + "000174" + "00016b" + "000164" + "00000002" + "00000001" + "0003612f62"
                            + "00000002" + "0708",
                    HexFormat.of().formatHex(value));
        }
    }

    @Test
    void damagedFile_isSetAsideAndReplaced() throws Exception {
        Path file = folder.resolve("steps");
        Files.write(file, "this is no store, whatever it was before".repeat(400).getBytes());
        assertEquals(List.of(), restored(file));
        assertTrue(Files.exists(folder.resolve("steps.damaged")));
    }
}

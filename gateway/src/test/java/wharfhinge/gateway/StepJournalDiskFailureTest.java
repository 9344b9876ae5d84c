package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.decisions.chain.StepAnswerCache.Answer;
import wharfhinge.engine.SteadyWallClock;
import wharfhinge.standin.fault.FaultInjection;
import wharfhinge.standin.fault.FaultInjection.ErrorNumber;
import wharfhinge.standin.fault.FaultInjection.SystemCall;

/**
 * Tests that the step journal of a real process loses no recorded step when its writes fail temporarily and the
 * process is killed afterwards.
 */
@Timeout(60)
class StepJournalDiskFailureTest {
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long STEP_INTERVAL_MILLIS = 2;
    private static final String RECORDED = "recorded ";
    private static final String REFUSED = "refused ";
    private static final int STEPS_PER_PHASE = 50;
    /** The process is killed after this time, which also ends a test that waits for its output. */
    private static final long PROCESS_TIMEOUT_SECONDS = 30;

    /** A process that records one step after another and prints whether each was recorded. */
    static final class Main {
        private Main() {}

        /** Records steps in the file given as argument until the process is killed. */
        public static void main(String[] args) {
            MvStoreStepJournal journal =
                    new MvStoreStepJournal(Path.of(args[0]), RETENTION_NANOS, new SteadyWallClock());
            Answer answer = new Answer(new byte[] {'x'}, "text/plain");
            for (int i = 0; ; i++) {
                String key = "k" + i;
                if (!journal.recordStep("t", key, "d", 2, 0, answer, () -> System.out.println(RECORDED + key))) {
                    System.out.println(REFUSED + key);
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_INTERVAL_MILLIS));
            }
        }
    }

    @TempDir
    private Path folder;

    @Test
    void diskTemporarilyFull_recordingResumesAndRecordedStepsAreOnDisk() throws Exception {
        failAndRecover(SystemCall.FILE_WRITE, ErrorNumber.ENOSPC);
    }

    @Test
    void temporaryIoError_recordingResumesAndRecordedStepsAreOnDisk() throws Exception {
        failAndRecover(SystemCall.FILE_WRITE, ErrorNumber.EIO);
    }

    private void failAndRecover(SystemCall call, ErrorNumber error) throws Exception {
        Path file = folder.resolve("steps");
        FaultInjection faults = FaultInjection.build(folder);
        ProcessBuilder builder = new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                file.toString());
        faults.addTo(builder.environment());
        Process process = builder.redirectErrorStream(true).start();
        process.onExit()
                .orTimeout(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .exceptionally(timeout -> process.destroyForcibly());
        try (BufferedReader output = process.inputReader()) {
            Set<String> before = readSteps(output, RECORDED);
            faults.fail(call, error, 1);
            readSteps(output, REFUSED);
            faults.stop(call);
            Set<String> after = readSteps(output, RECORDED);
            process.destroyForcibly().waitFor();
            Set<String> missing = new TreeSet<>(before);
            missing.addAll(after);
            missing.removeAll(restored(file));
            assertEquals(Set.of(), missing);
            assertTrue(faults.failed(call) > 0);
        } finally {
            process.destroyForcibly();
        }
    }

    /** Reads until {@link #STEPS_PER_PHASE} steps in a row had this result, and returns their keys. */
    private static Set<String> readSteps(BufferedReader output, String resultPrefix) throws IOException {
        Set<String> steps = new HashSet<>();
        while (steps.size() < STEPS_PER_PHASE) {
            String line = output.readLine();
            assertTrue(line != null, "the process has ended");
            if (line.startsWith(resultPrefix)) {
                steps.add(line.substring(resultPrefix.length()));
            } else if (line.startsWith(RECORDED) || line.startsWith(REFUSED)) {
                steps.clear();
            }
        }
        return steps;
    }

    private static Set<String> restored(Path file) {
        Set<String> keys = new HashSet<>();
        try (MvStoreStepJournal journal = new MvStoreStepJournal(file, RETENTION_NANOS, new SteadyWallClock())) {
            journal.restore((age, tenant, key, digest, count, step, answer) -> keys.add(key));
        }
        return keys;
    }
}

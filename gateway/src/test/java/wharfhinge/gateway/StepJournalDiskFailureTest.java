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

/** Writes to the step journal of a real process fail for a while; the process is killed afterwards. */
@Timeout(60)
class StepJournalDiskFailureTest {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long STEP_INTERVAL_MILLIS = 2;
    private static final String RECORDED = "recorded ";
    private static final String REFUSED = "refused ";
    private static final int STEPS_OF_EACH_PHASE = 50;
    /** Then the process is killed, which ends a test that waits for its output. */
    private static final long PROCESS_SECONDS = 30;

    /** A process that records a step at a time, and says of each what became of it. */
    static final class Main {
        private Main() {}

        /** Records in the file named until it is killed. */
        public static void main(String[] args) {
            MvStoreStepJournal journal = new MvStoreStepJournal(Path.of(args[0]), WINDOW_NANOS, new SteadyWallClock());
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
    void diskFullForAWhile_stepsAreRecordedAgainAndWhatWasRecordedIsOnDisk() throws Exception {
        failAndRecover(SystemCall.FILE_WRITE, ErrorNumber.ENOSPC);
    }

    @Test
    void ioErrorForAWhile_stepsAreRecordedAgainAndWhatWasRecordedIsOnDisk() throws Exception {
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
        process.onExit().orTimeout(PROCESS_SECONDS, TimeUnit.SECONDS).exceptionally(late -> process.destroyForcibly());
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

    /** Reads until so many steps in a row ended in this way, and returns them. */
    private static Set<String> readSteps(BufferedReader output, String end) throws IOException {
        Set<String> steps = new HashSet<>();
        while (steps.size() < STEPS_OF_EACH_PHASE) {
            String line = output.readLine();
            assertTrue(line != null, "the process has ended");
            if (line.startsWith(end)) {
                steps.add(line.substring(end.length()));
            } else if (line.startsWith(RECORDED) || line.startsWith(REFUSED)) {
                steps.clear();
            }
        }
        return steps;
    }

    private static Set<String> restored(Path file) {
        Set<String> keys = new HashSet<>();
        try (MvStoreStepJournal journal = new MvStoreStepJournal(file, WINDOW_NANOS, new SteadyWallClock())) {
            journal.restore((age, tenant, key, digest, count, step, answer) -> keys.add(key));
        }
        return keys;
    }
}

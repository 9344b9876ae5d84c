package wharfhinge.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wharfhinge.capture.CaptureReader;
import wharfhinge.capture.Replayer;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.Scenario.InjectedFault;
import wharfhinge.standin.judge.TraceVerifier;

/** Short runs of a scenario against gateways in separate processes, checked by the trace verifier. */
@Timeout(120)
class DrillTest {
    @TempDir
    private Path folder;

    private TraceVerifier.VerificationResult run(Mutant mutant, double seconds, InjectedFault... troubles)
            throws Exception {
        Scenario day = Scenarios.load(null, "bad-day");
        day.seconds(seconds);
        day.troubles().clear();
        for (InjectedFault t : troubles) {
            if (t.name().equals("chains")) {
                day.chainShare(t.size());
            } else {
                day.troubles().add(t);
            }
        }
        try (DrillRun played = new DrillRun(day, mutant, folder, mutant == null)) {
            return played.run();
        }
    }

    /** Replays the capture of each gateway, a killed one included, and expects the captured decisions. */
    private void assertCapturesReplay(int gateways) throws Exception {
        for (int i = 0; i < gateways; i++) {
            CaptureReader.Capture capture = CaptureReader.read(folder.resolve("gw" + i + ".capture"));
            Replayer.Result result = new Replayer().replay(capture.frames(), Long.MAX_VALUE, null);
            assertNull(
                    result.difference(),
                    () -> String.join("\n", result.difference().lines()));
            assertTrue(result.compared() > 500, result.toString());
        }
    }

    @Test
    void shortBadDay_keepsAllRules() throws Exception {
        TraceVerifier.VerificationResult verdict = run(
                null,
                9,
                new InjectedFault("hang", 1, 3, 0.15, 0, 0),
                new InjectedFault("drain", 1, 3, 0.15, 0, 1),
                new InjectedFault("balancer_stall", 3, 2, 0.3, 0, 0),
                new InjectedFault("balancer_roll", 6, 1, 0.6, 0.3, 0),
                new InjectedFault("answer_lost", 5, 3, 0.4, 0.2, 1),
                new InjectedFault("restart", 4, 0.5, 0.2, 0, 0),
                new InjectedFault("roster_lost", 5, 2, 0, 0, 0),
                new InjectedFault("store_shut", 6, 1, 0, 0, 0));
        assertEquals(5, verdict.rulesKept(), TraceVerifier.report(verdict).toString());
        assertTrue(
                Integer.parseInt(verdict.figures().get("calls")) > 800,
                verdict.figures().toString());
        assertCapturesReplay(3);
    }

    @ParameterizedTest
    @EnumSource(value = Mutant.class, mode = EnumSource.Mode.EXCLUDE, names = "NO_EARLY_REFUSAL")
    void mutant_isDetectedByTraceVerifier(Mutant mutant) throws Exception {
        TraceVerifier.VerificationResult verdict =
                switch (mutant) {
                    case FORGETS_ANSWERS -> run(mutant, 4, new InjectedFault("fast_errors", 0, 9, 1, 0.9, 0));
                    case REPEATS_UNSAFE -> run(mutant, 4, new InjectedFault("fast_errors", 0, 9, 1, 0.5, 0));
                    case DEAF_TO_DRAINS -> run(mutant, 6, new InjectedFault("drain", 0.5, 9, 0.5, 0, 1));
                    case COLD_AS_WARM -> run(
                            mutant,
                            6,
                            new InjectedFault("restart", 1, 0.2, 0.5, 0, 0),
                            new InjectedFault("overload", 1, 9, 0, 2, 0));
                    case CLOCK_FOR_EACH_STEP -> run(
                            mutant,
                            4,
                            new InjectedFault("chains", 0, 9, 0, 0.6, 0),
                            new InjectedFault("slow", 0, 9, 0.5, 4, 0));
                    case NO_EARLY_REFUSAL -> throw new AssertionError("breaks no rule");
                    case UNRATIONED -> run(mutant, 5, new InjectedFault("scan", 0, 9, 0, 0.5, 0));
                };
        assertTrue(verdict.broken().containsKey(mutant.rule()), mutant + ": " + TraceVerifier.report(verdict));
    }
}

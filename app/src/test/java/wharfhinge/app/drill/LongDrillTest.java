package wharfhinge.app.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.standin.Scenario;
import wharfhinge.standin.judge.TraceVerifier;

/** Scenario runs of half a minute each, in a separate class so that they run in parallel with the short ones. */
@Timeout(120)
class LongDrillTest {
    @TempDir
    private Path folder;

    @Test
    void realWorkers_keepAllRulesAndAccountTheirMemoryCorrectly() throws Exception {
        Scenario day = Scenarios.load(null, "workers");
        try (DrillRun played = new DrillRun(day, null, folder)) {
            TraceVerifier.VerificationResult verdict = played.run();
            assertEquals(5, verdict.rulesKept(), TraceVerifier.report(verdict).toString());
            assertEquals(List.of(), played.memoryJudge().faults());
            assertTrue(
                    Integer.parseInt(verdict.figures().get("calls")) > 1000,
                    verdict.figures().toString());
        }
    }

    @Test
    void gatewaysReplacedOneByOne_failAlmostNoCallOfEitherLibrary() throws Exception {
        double wanting = ClientDrills.rollingRestart(Scenarios.load(null, "calm"), folder, 8);
        assertTrue(
                wanting < 0.02,
                "share of calls failed or late (the bound allows for other load on the machine): " + wanting);
    }
}

package wharfhinge.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays minimized captures of gateways from fault injection tests: ten faults and the situations of three incidents. Each fixture
 * still shows the decision that it is named for, so that unintended changes of decisions are found. After an intended change, minimize
 * the capture again (docs/operate/capture.md).
 */
class FixturesTest {
    private static final Path FOLDER = Path.of("src/test/resources/wharfhinge/capture");

    static Stream<Path> fixtures() throws Exception {
        return Files.list(FOLDER).sorted();
    }

    @ParameterizedTest
    @MethodSource("fixtures")
    void fixture_replaysWithoutDifferenceAndShowsItsFailure(Path file) throws Exception {
        List<String> lines = Files.readAllLines(file);
        List<Frame> frames = FrameJson.fixture(lines);
        Replayer.Result result = new Replayer().replay(frames, Long.MAX_VALUE, null);
        assertNull(
                result.difference(), () -> String.join("\n", result.difference().lines()));
        assertEquals(frames.size(), result.compared());
        String expression = lines.get(0).replaceFirst("^# shows: ", "");
        assertTrue(new FailurePredicate(expression).matches(TraceMinimizer.replayed(frames)), expression);
        // The limit allows for the five preferred workers that respond for each function called.
        assertTrue(frames.size() < 80, "fixture isn't minimal, frames: " + frames.size());
    }
}

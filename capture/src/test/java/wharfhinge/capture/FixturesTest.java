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
 * What gateways were told on drills of ten troubles and of the kinds of three incidents, cut down to the least that still shows the
 * decision of interest. They hold the decisions to what they were; a change that is wanted is cut down anew (docs/operate/capture.md).
 */
class FixturesTest {
    private static final Path FOLDER = Path.of("src/test/resources/wharfhinge/capture");

    static Stream<Path> fixtures() throws Exception {
        return Files.list(FOLDER).sorted();
    }

    @ParameterizedTest
    @MethodSource("fixtures")
    void isDecidedAsItWasAndShowsWhatItShowed(Path file) throws Exception {
        List<String> lines = Files.readAllLines(file);
        List<Frame> story = FrameJson.fixture(lines);
        Replayer.Result result = new Replayer().replay(story, Long.MAX_VALUE, null);
        assertNull(
                result.difference(), () -> String.join("\n", result.difference().lines()));
        assertEquals(story.size(), result.compared());
        String symptom = lines.get(0).replaceFirst("^# shows: ", "");
        assertTrue(new FailurePredicate(symptom).matches(TraceMinimizer.replayed(story)), symptom);
        assertTrue(story.size() < 80, "cut down: " + story.size()); // each function asked for is answered by five homes
    }
}

package wharfhinge.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards the names in stored captures: captures of earlier versions are read, and written again byte for byte. The golden files contain
 * every event, every action and every constant; they change only if the stored format is meant to change.
 */
class StoredFormatTest {
    private static final Path GOLDEN = Path.of("src/test/resources/wharfhinge/capture-format");

    static Stream<Path> fixtures() throws Exception {
        return Files.list(Path.of("src/test/resources/wharfhinge/capture")).sorted();
    }

    @Test
    void everyKindOfFrame_isReadAndWrittenAsTheSameLine() throws Exception {
        List<String> lines = Files.readAllLines(GOLDEN.resolve("every-kind.jsonl"));
        assertEquals(lines, lines.stream().map(StoredFormatTest::reread).toList());
        for (RecordedAction.Kind kind : RecordedAction.Kind.values()) {
            assertTrue(
                    lines.stream().anyMatch(l -> FrameJson.json(fixtureFrame(l).acts())
                            .contains("\"" + kind(kind) + "\"")),
                    kind::name);
        }
        for (Class<?> event : Event.class.getPermittedSubclasses()) {
            assertTrue(lines.stream().anyMatch(l -> fixtureFrame(l).event().getClass() == event), event::getName);
        }
    }

    @ParameterizedTest
    @MethodSource("fixtures")
    void keptFixtures_areReadAndWrittenAsTheSameLines(Path file) throws Exception {
        List<String> lines = Files.readAllLines(file).stream()
                .filter(l -> !l.startsWith("#"))
                .toList();
        assertEquals(lines, lines.stream().map(StoredFormatTest::reread).toList());
    }

    @Test
    void everyKindOfFrame_hasTheSameBytesInASegment() throws Exception {
        List<String> written = new ArrayList<>();
        for (String line : Files.readAllLines(GOLDEN.resolve("every-kind.jsonl"))) {
            byte[] bytes = WireCodec.write(fixtureFrame(line)).toByteArray();
            written.add(HexFormat.of().formatHex(bytes));
            assertEquals(line, FrameJson.line(WireCodec.read(wharfhinge.capture.wire.Frame.parseFrom(bytes))));
        }
        assertEquals(Files.readAllLines(GOLDEN.resolve("every-kind.hex")), written);
    }

    private static String kind(RecordedAction.Kind kind) {
        return FrameJson.json(kind).replace("\"", "");
    }

    private static Frame fixtureFrame(String line) {
        try {
            return FrameJson.frame(line);
        } catch (java.io.IOException e) {
            throw new AssertionError(line, e);
        }
    }

    private static String reread(String line) {
        return FrameJson.line(fixtureFrame(line));
    }
}

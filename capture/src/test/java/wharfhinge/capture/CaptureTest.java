package wharfhinge.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/** Writes captures, reads intact and damaged ones, and replays, explains and minimizes them. */
@Timeout(60)
class CaptureTest {
    @TempDir
    private Path folder;

    private Path write(List<Frame> frames, long segmentBytes) throws Exception {
        Path at = Files.createTempDirectory(folder, "c");
        try (CaptureWriter writer = new CaptureWriter(at, "gw", segmentBytes, 1 << 30, 1 << 30, false)) {
            frames.forEach(writer);
        }
        return at;
    }

    private static List<String> lines(List<Frame> frames) {
        return frames.stream().map(FrameJson::line).toList();
    }

    @ParameterizedTest
    @EnumSource(SmallFleet.Fault.class)
    void storedCapture_replaysWithoutDifference(SmallFleet.Fault fault) throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(7, fault, 120);
        assertTrue(recorded.size() > 400, "too few frames: " + recorded.size());
        CaptureReader.Capture capture = CaptureReader.read(write(recorded, 1 << 20));
        assertEquals(List.of(), capture.faults());
        assertEquals(lines(recorded), lines(capture.frames()), "frames read back differ from the written ones");
        Replayer.Result result = new Replayer().replay(capture.frames(), Long.MAX_VALUE, null);
        assertNull(
                result.difference(), () -> String.join("\n", result.difference().lines()));
        assertEquals(recorded.size(), result.compared());
        assertEquals(
                lines(TraceMinimizer.replayed(recorded)),
                lines(TraceMinimizer.replayed(capture.frames())),
                "replays of the original and of the stored frames differ");
    }

    @Test
    void difference_isReportedWithPrecedingFrames() throws Exception {
        List<Frame> recorded = new ArrayList<>(SmallFleet.recordFrames(7, SmallFleet.Fault.NONE, 60));
        int at = 0;
        for (int i = 100; at == 0; i++) {
            at = recorded.get(i).acts().stream().anyMatch(a -> a.kind() == RecordedAction.Kind.ATTEMPT) ? i : 0;
        }
        Frame f = recorded.get(at);
        recorded.set(at, new Frame(f.at(), f.event(), List.of(), ""));
        Replayer.Difference difference =
                new Replayer().replay(recorded, Long.MAX_VALUE, null).difference();
        assertEquals(at, difference.index());
        assertEquals(10, difference.before().size());
        assertTrue(String.join("\n", difference.lines()).contains("attempt c"));
    }

    @Test
    void truncatedSegment_keepsFramesBeforeTheCut() throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 400);
        Path segment = CaptureReader.segments(write(recorded, 1 << 20)).get(0);
        byte[] bytes = Files.readAllBytes(segment);
        Files.write(segment, Arrays.copyOf(bytes, bytes.length - 100)); // as if the process was killed while writing
        CaptureReader.Capture capture = CaptureReader.read(segment);
        assertTrue(
                capture.faults().get(0).contains("cut inside a block"),
                capture.faults().toString());
        Replayer.Result result = new Replayer().replay(capture.frames(), Long.MAX_VALUE, null);
        assertNull(result.difference());
        assertTrue(result.compared() >= 2000 && result.gaps() == 1, result.toString());
        Files.write(segment, Arrays.copyOf(bytes, bytes.length - 1));
        assertEquals(1, CaptureReader.read(segment).faults().size());
    }

    @Test
    void flippedBit_isReportedAsFault() throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 100);
        Path segment = CaptureReader.segments(write(recorded, 1 << 20)).get(0);
        byte[] bytes = Files.readAllBytes(segment);
        int head = new String(bytes, 0, 200, java.nio.charset.StandardCharsets.ISO_8859_1).indexOf('\n') + 1;
        for (int at : new int[] {head, head + 5, head + 9, head + 14, head + 60, bytes.length - 3}) {
            byte[] damaged = bytes.clone();
            damaged[at] ^= 0x10;
            Files.write(segment, damaged);
            assertEquals(1, CaptureReader.read(segment).faults().size(), "byte " + at);
        }
    }

    @Test
    void unknownVersionOrFormat_isRejectedWithReason() throws Exception {
        Path file = folder.resolve("old.whcap");
        Files.writeString(file, "wharfhinge-capture 0 gw 1 2 plain\n");
        assertTrue(assertThrows(IOException.class, () -> CaptureReader.read(file))
                .getMessage()
                .contains("version 0"));
        Files.writeString(file, "something else\n");
        assertTrue(assertThrows(IOException.class, () -> CaptureReader.read(file))
                .getMessage()
                .contains("no capture"));
        Files.writeString(file, "x".repeat(2000));
        assertTrue(assertThrows(IOException.class, () -> CaptureReader.read(file))
                .getMessage()
                .contains("does not end"));
    }

    @Test
    void gap_skipsFramesUntilTheNextIncarnation() throws Exception {
        List<Frame> one = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 40);
        List<Frame> two = SmallFleet.recordFrames(4, SmallFleet.Fault.NONE, 40);
        List<Frame> all = new ArrayList<>(one.subList(0, 100));
        all.add(new Frame(0, new Event.Gap(17), List.of(), ""));
        all.addAll(one.subList(117, one.size()));
        all.addAll(two);
        Replayer.Result result = new Replayer().replay(all, Long.MAX_VALUE, null);
        assertNull(result.difference());
        assertEquals(17, result.gaps());
        assertEquals(one.size() - 117, result.skipped());
        assertEquals(100 + two.size(), result.compared());
    }

    @Test
    void unwritableFolder_countsLostFramesAndNeverBlocks() throws Exception {
        Path at = folder.resolve("gone");
        try (CaptureWriter writer = new CaptureWriter(at, "gw", 1 << 20, 1 << 30, 1 << 30, false)) {
            Files.delete(at); // no segment can be created here
            List<Frame> recorded = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 100);
            recorded.forEach(writer);
            long end = System.nanoTime() + 10_000_000_000L;
            while (writer.statistics().lost() < recorded.size() - 256
                    && System.nanoTime() < end) { // the last batch may not be queued yet
                Thread.sleep(5);
            }
            assertTrue(
                    writer.statistics().lost() >= recorded.size() - 256,
                    writer.statistics().toString());
            Files.createDirectory(at);
            Thread.sleep(1100); // the writer waits 1 s before it tries again
            SmallFleet.recordFrames(4, SmallFleet.Fault.NONE, 40).forEach(writer);
        }
        Replayer.Result result = new Replayer().replay(CaptureReader.read(at).frames(), Long.MAX_VALUE, null);
        assertNull(result.difference());
        assertTrue(result.gaps() > 0 && result.compared() > 100, result.toString());
    }

    @Test
    void segments_rollAndOldestAreDeleted() throws Exception {
        Path at = folder.resolve("small");
        try (CaptureWriter writer = new CaptureWriter(at, "gw", 4000, 20_000, 1 << 30, false)) {
            for (int i = 0; i < 12; i++) {
                SmallFleet.recordFrames(i, SmallFleet.Fault.NONE, 60).forEach(writer);
                Thread.sleep(60);
            }
            Thread.sleep(700);
        }
        long bytes = 0;
        for (Path segment : CaptureReader.segments(at)) {
            bytes += Files.size(segment);
        }
        assertTrue(bytes < 60_000, "bytes on disk: " + bytes);
        assertTrue(CaptureReader.index(at).size() >= 1);
        CaptureReader.BlockHeader header = CaptureReader.index(at).get(0);
        assertTrue(header.lastNanos() >= header.firstNanos() && header.frames() > 0);
    }

    /** Converts a segment to format version 1, whose blocks have no name filter. */
    private static byte[] toVersion1(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        ByteBuffer to = ByteBuffer.allocate(bytes.length);
        String line = new String(bytes, 0, 200, StandardCharsets.ISO_8859_1);
        line = line.substring(0, line.indexOf('\n') + 1);
        to.put(line.replace("capture 2 ", "capture 1 ").getBytes(StandardCharsets.ISO_8859_1));
        in.position(line.length());
        while (in.hasRemaining()) {
            int mark = in.getInt();
            int length = in.getInt();
            in.getInt();
            byte[] head = new byte[24];
            in.get(head);
            int filter = in.getInt();
            in.position(in.position() + filter);
            byte[] packed = new byte[length - filter];
            in.get(packed);
            CRC32C crc = new CRC32C();
            crc.update(head);
            crc.update(packed);
            to.putInt(mark)
                    .putInt(packed.length)
                    .putInt((int) crc.getValue())
                    .put(head)
                    .put(packed);
        }
        return Arrays.copyOf(to.array(), to.position());
    }

    @Test
    void version1Segment_isRead() throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 300);
        Path segment = CaptureReader.segments(write(recorded, 1 << 20)).get(0);
        Files.write(segment, toVersion1(Files.readAllBytes(segment)));
        assertEquals(List.of(), CaptureReader.read(segment).faults());
        assertEquals(lines(recorded), lines(CaptureReader.read(segment).frames()));
        assertTrue(
                CaptureReader.index(segment).stream().allMatch(b -> b.names().mightContain("anything")),
                "an absent filter must match every name");
        assertTrue(CaptureReader.index(segment).size() >= 1);
    }

    @Test
    void nameFilter_findsTheBlocksOfACall() throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(3, SmallFleet.Fault.NONE, 4000);
        Path at = write(recorded, 1 << 30);
        List<CaptureReader.BlockHeader> index = CaptureReader.index(at);
        assertTrue(index.size() > 5, "blocks: " + index + " of " + recorded.size());
        assertEquals(
                recorded.size(),
                index.stream().mapToInt(CaptureReader.BlockHeader::frames).sum());
        for (String name : List.of("c7", "client-7", "client-3999")) {
            List<CaptureReader.BlockHeader> found =
                    index.stream().filter(b -> b.names().mightContain(name)).toList();
            long namedAt = recorded.stream()
                    .filter(f -> f.event() instanceof Event.Named n
                            && (n.outer().equals(name) || n.request().equals(name)))
                    .mapToLong(Frame::at)
                    .findFirst()
                    .orElseThrow();
            assertTrue(found.stream().anyMatch(b -> b.firstNanos() <= namedAt && namedAt <= b.lastNanos()), name);
            assertTrue(found.size() <= 2, name + " in " + found.size() + " of " + index.size());
        }
        long falsePositives = java.util.stream.IntStream.range(0, 1000)
                .filter(i -> index.get(0).names().mightContain("none-" + i))
                .count();
        assertTrue(falsePositives < 40, "false positives: " + falsePositives);
    }

    @Test
    void clockOffset_isEstimatedFromSharedEndpointUpdates() {
        List<Frame> one = new ArrayList<>();
        List<Frame> two = new ArrayList<>();
        for (int i = 1; i <= 21; i++) {
            Event change =
                    new Event.Members(i == 1 ? EndpointUpdateMode.FULL : EndpointUpdateMode.INCREMENTAL, i, List.of());
            one.add(new Frame(i * 1_000_000_000L, change, List.of(), ""));
            // A full update on connecting, then some late pushes.
            long delayMillis = i == 1 ? 40_000 : i % 5 == 0 ? 300 : i % 3;
            two.add(new Frame(500_000_000_000L + (i * 1000 + delayMillis) * 1_000_000L, change, List.of(), ""));
        }
        var first = new CaptureReader.Capture("a", 1000, 0, false, one, List.of());
        var second = new CaptureReader.Capture("b", 1120, 500_000_000_000L, false, two, List.of()); // 120 ms ahead
        ClockOffset offset = ClockOffset.estimate(first, second).orElseThrow();
        assertEquals(20, offset.samples());
        assertEquals(120_500, offset.offsetMicros(), 1500);
        assertTrue(offset.spreadMicros() <= 2000, offset.toString());
        assertTrue(ClockOffset.estimate(first, new CaptureReader.Capture("c", 1, 0, false, List.of(), List.of()))
                .isEmpty());
    }

    @Test
    void explanation_givesReasonsAndCandidates() {
        List<Frame> recorded = SmallFleet.recordFrames(7, SmallFleet.Fault.SILENT, 120);
        CallExplanation explanation = new CallExplanation("client-60");
        new Replayer().replay(recorded, Long.MAX_VALUE, explanation);
        String text = String.join("\n", explanation.lines());
        assertTrue(text.contains("call c60 (client-60)"), text);
        assertTrue(text.contains("decided: attempt c60 w"), text);
        assertTrue(text.contains("since: "), text);
        assertTrue(text.contains("believed then of 6 workers"), text);
        CallExplanation none = new CallExplanation("client-9999");
        new Replayer().replay(recorded, Long.MAX_VALUE, none);
        assertEquals(List.of(), none.lines());
    }

    @Test
    void readingWorkerStates_changesNoDecision() {
        List<Frame> recorded = SmallFleet.recordFrames(11, SmallFleet.Fault.SATURATES, 120);
        Replayer.Result result = new Replayer().replay(recorded, Long.MAX_VALUE, new Replayer.Watcher() {
            @Override
            public void before(long index, Frame frame, Dispatcher dispatcher) {
                if (dispatcher != null) {
                    dispatcher.workerStates(frame.at(), "f1");
                }
            }
        });
        assertNull(result.difference());
    }

    @Test
    void hashedNames_hideFunctionsAndTenantsAndStillReplay() {
        List<Frame> frames = new ArrayList<>();
        List<String> loadedFunctions = new ArrayList<>();
        ActionRecorder outerActions = new ActionRecorder(null);
        HashedNames names = HashedNames.wrap(
                (now, seed, settings, actions) ->
                        new Recorder(CacheAwareDispatcher::new, now, 0, seed, settings, actions, frames::add),
                "0123456789abcdef".getBytes(),
                1,
                1,
                SmallSettings.of(true),
                outerActions);
        names.onEndpointUpdate(
                1, EndpointUpdateMode.FULL, 1, List.of(new Endpoint("w0", "z", "k", 0, Availability.UP, 1, 0)));
        names.onRequest(
                2,
                new Request(
                        "c", "secret-tenant", 2_000_000_000L, 100, "secret-function", 0, 1, 300, "safe", false, false));
        names.onAttemptCompleted(
                3_000_000,
                new AttemptCompletion(
                        "c", Outcome.NOT_LOADED, 0, 1, "w0", CacheStatus.UNKNOWN, 0, false, java.util.Map.of()));
        outerActions.drain().stream()
                .filter(a -> a.kind() == RecordedAction.Kind.HOLD)
                .forEach(a -> loadedFunctions.add(a.function()));
        assertEquals(List.of("secret-function"), loadedFunctions, "the load order must have the original name");
        assertTrue(
                lines(frames).stream().noneMatch(l -> l.contains("secret")),
                lines(frames).toString());
        assertNull(new Replayer().replay(frames, Long.MAX_VALUE, null).difference());
    }

    @Test
    void otherSettings_giveADifference() {
        List<Frame> recorded = SmallFleet.recordFrames(7, SmallFleet.Fault.NONE, 60);
        assertNotNull(new Replayer(CacheAwareDispatcher::new, s -> SmallSettings.of(true))
                .replay(recorded, Long.MAX_VALUE, null)
                .difference());
    }

    @Test
    void minimizer_keepsTheFramesThatReproduceTheFailure() throws Exception {
        List<Frame> recorded = SmallFleet.recordFrames(7, SmallFleet.Fault.FAILS, 200);
        FailurePredicate predicate = new FailurePredicate("remark text=ejected* and attempt worker=w5 >= 2");
        assertTrue(predicate.matches(recorded), "a failing worker is ejected and another one is used");
        TraceMinimizer minimizer = new TraceMinimizer(predicate::matches, 3000);
        List<Frame> minimized = minimizer.minimize(recorded);
        assertTrue(minimized.size() < recorded.size() / 8, minimized.size() + " of " + recorded.size());
        assertTrue(predicate.matches(minimized));
        Path file = folder.resolve("f.jsonl");
        Files.write(
                file, TraceMinimizer.fixtureLines("a failing worker is ejected and another one is used", minimized));
        List<Frame> read = FrameJson.fixture(Files.readAllLines(file));
        assertNull(
                new Replayer().replay(read, Long.MAX_VALUE, null).difference(),
                "the fixture must replay without a difference");
        assertThrows(
                IllegalArgumentException.class,
                () -> new TraceMinimizer(new FailurePredicate("unload >= 1")::matches, 100).minimize(recorded));
    }

    @Test
    void invalidPredicate_namesTheAllowedWords() {
        for (String wrong : List.of("jump", "attempt w1", "attempt colour=red", "refuse >= many")) {
            assertTrue(assertThrows(IllegalArgumentException.class, () -> new FailurePredicate(wrong))
                    .getMessage()
                    .contains("allowed"));
        }
    }
}

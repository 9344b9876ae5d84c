package wharfhinge.app.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import wharfhinge.capture.CaptureReader;
import wharfhinge.capture.Frame;
import wharfhinge.capture.FrameJson;
import wharfhinge.capture.Replayer;

/** Replays a whole capture; the cost per frame is the score divided by the number of frames. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ReplayBenchmark {
    /** Path of the capture. */
    @Param("")
    public String capture;

    private List<Frame> frames;

    static List<Frame> read(Path file) throws IOException {
        return file.toString().endsWith(".jsonl")
                ? FrameJson.fixture(Files.readAllLines(file))
                : CaptureReader.read(file).frames();
    }

    /** Reads the capture once, outside of the measured time. */
    @Setup
    public void read() throws IOException {
        frames = read(Path.of(capture));
    }

    /** Includes recording the decisions and comparing them with the captured ones. */
    @Benchmark
    public Replayer.Result replay() {
        return new Replayer().replay(frames, Long.MAX_VALUE, null);
    }
}

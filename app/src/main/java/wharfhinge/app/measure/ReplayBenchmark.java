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

/** A whole capture decided again; what a frame costs is this over the number of frames. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ReplayBenchmark {
    /** The capture's path. */
    @Param("")
    public String capture;

    private List<Frame> frames;

    static List<Frame> read(Path file) throws IOException {
        return file.toString().endsWith(".jsonl")
                ? FrameJson.fixture(Files.readAllLines(file))
                : CaptureReader.read(file).frames();
    }

    /** Reads it once. */
    @Setup
    public void read() throws IOException {
        frames = read(Path.of(capture));
    }

    /** Comparing what is decided is in it, as is taking it down. */
    @Benchmark
    public Replayer.Result replay() {
        return new Replayer().replay(frames, Long.MAX_VALUE, null);
    }
}

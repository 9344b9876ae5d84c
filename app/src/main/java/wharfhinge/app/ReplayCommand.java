package wharfhinge.app;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharfhinge.capture.CallExplanation;
import wharfhinge.capture.CaptureReader;
import wharfhinge.capture.CaptureReader.Capture;
import wharfhinge.capture.ClockOffset;
import wharfhinge.capture.FailurePredicate;
import wharfhinge.capture.Frame;
import wharfhinge.capture.FrameJson;
import wharfhinge.capture.RecordedAction;
import wharfhinge.capture.Replayer;
import wharfhinge.capture.TraceMinimizer;
import wharfhinge.config.GatewayConfig;
import wharfhinge.config.InvalidConfigurationException;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;

/** The command {@code replay}: replays the capture of a gateway. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Replays the events of a capture to a new dispatcher and compares its actions with the captured ones; exits with 1 at "
                        + "the first difference, or if the capture has a gap.")
final class ReplayCommand implements Callable<Integer> {
    private static final int MAX_SHOWN_DIFFERENCES = 10;

    @Parameters(
            arity = "1..*",
            paramLabel = "CAPTURE",
            description = "A capture segment, a folder with the segments of one gateway, or a fixture "
                    + "(.jsonl). Several are allowed with --merge and --find only.")
    private List<Path> files;

    @Option(
            names = "--until",
            paramLabel = "S",
            description = "Stops this many seconds after the first frame of the capture; replays all if left out.")
    private Double until;

    @Option(
            names = "--call",
            paramLabel = "ID",
            description = "Explains how this call was dispatched; the id is the client's or the " + "gateway's.")
    private String callToExplain;

    @Option(
            names = "--what-if",
            paramLabel = "SETTINGS",
            description =
                    "Gateway settings, XML file: prints which actions would differ for the same events under these settings.")
    private Path otherSettingsFile;

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "File to write: one line for each event with the actions of the replay.")
    private Path log;

    @Option(
            names = "--reduce",
            paramLabel = "SYMPTOM",
            description = "Minimizes the capture to few frames for which this failure predicate still holds, such as "
                    + "'attempt worker=127.0.0.1:7001 >= 3 and refuse >= 1', and writes them to --out.")
    private String failureExpression;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Fixture file (.jsonl) to which --reduce writes the minimized capture.")
    private Path out;

    @Option(
            names = "--most-replays",
            defaultValue = "2000",
            description = "Limit of the replays that --reduce runs. Default ${DEFAULT-VALUE}.")
    private int mostReplays;

    @Option(
            names = "--merge",
            description = "Prints the frames of all captures, ordered by the wall clocks of their gateways.")
    private boolean merge;

    @Option(
            names = "--skew",
            paramLabel = "GATEWAY=MS",
            description =
                    "With --merge: how far the wall clock of this gateway is ahead, in milliseconds; may be repeated.")
    private Map<String, Double> clockOffsets = new HashMap<>();

    @Option(
            names = "--align",
            description = "With --merge: corrects the clock offset of each gateway to the first one, estimated from "
                    + "the endpoint updates that both received, unless --skew gives it.")
    private boolean align;

    @Option(
            names = "--find",
            paramLabel = "ID",
            description = "Prints the segments and times of the blocks that contain this call, without replaying; "
                    + "about one in a hundred blocks is a false positive.")
    private String callToFind;

    @Option(
            names = "--symptom",
            paramLabel = "CLASS",
            description =
                    "Failure predicate in place of the expression of --reduce: a class from --classes that implements "
                            + "Predicate<List<Frame>> and has a constructor without arguments.")
    private String failurePredicateClass;

    @Option(
            names = "--classes",
            paramLabel = "PATH",
            split = ":",
            description = "Class path of the class that --symptom names: jars and folders.")
    private List<Path> classes = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InvalidConfigurationException {
        if (merge) {
            return printMerged();
        }
        if (callToFind != null) {
            return findBlocks();
        }
        if (files.size() > 1) {
            System.err.println("replay: found " + files.size() + " captures, allowed: one, or --merge");
            return Program.USAGE;
        }
        List<String> faults = new ArrayList<>();
        List<Frame> frames = readFrames(files.get(0), faults);
        if (frames.isEmpty()) {
            System.err.println(files.get(0) + ": contains no frames");
            return Program.FAILURE;
        }
        long end =
                until == null ? lastRelevantNanos(files.get(0)) : frames.get(0).at() + (long) (until * 1e9);
        faults.forEach(t -> System.out.println("fault: " + t));
        if (failureExpression != null || failurePredicateClass != null) {
            return minimize(frames);
        }
        if (otherSettingsFile != null) {
            return replayWithOtherSettings(frames, end);
        }
        return replayAndCompare(frames, end, faults.isEmpty());
    }

    private static List<Frame> readFrames(Path file, List<String> faults) throws IOException {
        if (file.toString().endsWith(".jsonl")) {
            return FrameJson.fixture(Files.readAllLines(file));
        }
        Capture capture = CaptureReader.read(file);
        faults.addAll(capture.faults());
        return capture.frames();
    }

    private Integer replayAndCompare(List<Frame> frames, long end, boolean complete) throws IOException {
        CallExplanation explanation = new CallExplanation(callToExplain == null ? "" : callToExplain);
        Replayer.Result result;
        try (BufferedWriter logWriter = log == null ? null : Files.newBufferedWriter(log)) {
            result = new Replayer().replay(frames, end, new Replayer.Watcher() {
                @Override
                public void before(long index, Frame frame, Dispatcher dispatcher) {
                    if (callToExplain != null) {
                        explanation.before(index, frame, dispatcher);
                    }
                }

                @Override
                public void after(long index, Frame frame, List<RecordedAction> replayed) {
                    if (callToExplain != null) {
                        explanation.after(index, frame, replayed);
                    }
                    write(logWriter, new Frame(frame.at(), frame.event(), replayed, frame.thrown()));
                }
            });
        }
        if (callToExplain != null) {
            explanation.lines().forEach(System.out::println);
            if (explanation.lines().isEmpty()) {
                System.out.println("call " + callToExplain + " is not in this capture");
            }
        }
        System.out.printf(
                "%d frames compared in %d incarnations, %d skipped after a gap, %d lost%n",
                result.compared(), result.incarnations(), result.skipped(), result.gaps());
        if (result.difference() != null) {
            result.difference().lines().forEach(System.out::println);
            return Program.FAILURE;
        }
        System.out.println(
                complete && result.gaps() == 0
                        ? "all decisions are the same"
                        : "all decisions that can be compared are the same; the capture is incomplete");
        return complete
                        && result.gaps() == 0
                        && (callToExplain == null || !explanation.lines().isEmpty())
                ? Program.OK
                : Program.FAILURE;
    }

    private static void write(BufferedWriter to, Frame frame) {
        if (to != null) {
            try {
                to.write(FrameJson.line(frame));
                to.newLine();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Replays with other settings. The events stay those that the captured actions led to. */
    private Integer replayWithOtherSettings(List<Frame> frames, long end) throws InvalidConfigurationException {
        GatewayConfig otherConfig = GatewayConfig.load(otherSettingsFile);
        long[] firstDifference = {-1};
        long[] differences = {0};
        List<String> shown = new ArrayList<>();
        Replayer.Result result = new Replayer(CacheAwareDispatcher::new, captured -> otherConfig.dispatcherSettings())
                .counterfactual(frames, end, new Replayer.Watcher() {
                    @Override
                    public void before(long index, Frame frame, Dispatcher dispatcher) {}

                    @Override
                    public void after(long index, Frame frame, List<RecordedAction> replayed) {
                        if (!replayed.equals(frame.acts())) {
                            firstDifference[0] = firstDifference[0] < 0 ? index : firstDifference[0];
                            differences[0]++;
                            if (shown.size() < 2 * MAX_SHOWN_DIFFERENCES) {
                                shown.add("frame " + index + " captured "
                                        + frame.acts().stream()
                                                .map(RecordedAction::line)
                                                .toList());
                                shown.add("frame " + index + " would be "
                                        + replayed.stream()
                                                .map(RecordedAction::line)
                                                .toList());
                            }
                        }
                    }
                });
        System.out.println("counterfactual: the same events under the settings of " + otherSettingsFile);
        shown.forEach(System.out::println);
        System.out.printf(
                "%d of %d frames would have other actions%s%n",
                differences[0],
                result.compared(),
                firstDifference[0] < 0
                        ? ""
                        : "; valid to frame " + firstDifference[0]
                                + ": later events result from the captured actions, not from these");
        return Program.OK;
    }

    private Integer minimize(List<Frame> frames) throws IOException {
        if (out == null) {
            System.err.println("--reduce: missing --out");
            return Program.USAGE;
        }
        try {
            Predicate<List<Frame>> predicate =
                    failurePredicateClass == null ? new FailurePredicate(failureExpression)::matches : loadPredicate();
            TraceMinimizer minimizer = new TraceMinimizer(predicate, mostReplays);
            List<Frame> minimized = minimizer.minimize(frames);
            Files.write(
                    out,
                    TraceMinimizer.fixtureLines(
                            "shows: " + (failureExpression == null ? failurePredicateClass : failureExpression),
                            minimized));
            System.out.printf(
                    "%d frames of %d after %d replays, in %s%n",
                    minimized.size(), frames.size(), minimizer.replays(), out);
            return Program.OK;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return Program.FAILURE;
        }
    }

    @SuppressWarnings("unchecked")
    private Predicate<List<Frame>> loadPredicate() throws IOException {
        List<URL> urls = new ArrayList<>();
        for (Path path : classes) {
            urls.add(path.toUri().toURL());
        }
        try {
            Object instance = Class.forName(
                            failurePredicateClass,
                            true,
                            new URLClassLoader(
                                    urls.toArray(new URL[0]), getClass().getClassLoader()))
                    .getDeclaredConstructor()
                    .newInstance();
            if (instance instanceof Predicate) {
                return (Predicate<List<Frame>>) instance;
            }
            throw new IllegalArgumentException(
                    "--symptom: found " + failurePredicateClass + ", allowed: a Predicate<List<Frame>>");
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new IllegalArgumentException(
                    "--symptom: found " + failurePredicateClass + ", which cannot be instantiated from " + classes
                            + ": " + e,
                    e);
        }
    }

    /** Time of the last block that may contain the call; later frames are not needed to explain it. */
    private long lastRelevantNanos(Path at) throws IOException {
        if (callToExplain == null || at.toString().endsWith(".jsonl")) {
            return Long.MAX_VALUE;
        }
        return CaptureReader.index(at).stream()
                .filter(b -> b.names().mightContain(callToExplain))
                .mapToLong(CaptureReader.BlockHeader::lastNanos)
                .max()
                .orElse(Long.MAX_VALUE);
    }

    private Integer findBlocks() throws IOException {
        int blocks = 0;
        for (Path file : files) {
            for (CaptureReader.BlockHeader b : CaptureReader.index(file)) {
                if (b.names().mightContain(callToFind)) {
                    blocks++;
                    System.out.printf(
                            "%s at byte %d: %s, %.1f s, %d frames%n",
                            b.segment(),
                            b.offset(),
                            Instant.ofEpochMilli(b.wallMillis()),
                            (b.lastNanos() - b.firstNanos()) / 1e9,
                            b.frames());
                }
            }
        }
        System.out.println(blocks == 0 ? "call " + callToFind + " is in none of these captures" : blocks + " blocks");
        return blocks == 0 ? Program.FAILURE : Program.OK;
    }

    private record TimedFrame(long wallMicros, String gateway, Frame frame) {}

    private long clockOffsetMicros(Capture first, Capture capture) {
        Optional<ClockOffset> offset = ClockOffset.estimate(first, capture);
        System.out.println("# " + capture.gateway()
                + offset.map(s -> String.format(
                                Locale.ROOT,
                                ": clock %.1f ms ahead of %s's, estimated from %d endpoint updates, half of them within %.1f ms",
                                s.offsetMicros() / 1000.0,
                                first.gateway(),
                                s.samples(),
                                s.spreadMicros() / 1000.0))
                        .orElse(": shares no endpoint update with " + first.gateway()
                                + ", its clock offset cannot be estimated"));
        Double given = clockOffsets.get(capture.gateway());
        return given != null
                ? (long) (given * 1000)
                : align ? offset.map(ClockOffset::offsetMicros).orElse(0L) : 0;
    }

    private Integer printMerged() throws IOException {
        List<TimedFrame> all = new ArrayList<>();
        Capture first = null;
        for (Path file : files) {
            Capture capture = CaptureReader.read(file);
            capture.faults().forEach(t -> System.out.println("fault: " + t));
            long offsetMicros = first == null ? 0 : clockOffsetMicros(first, capture);
            first = first == null ? capture : first;
            capture.frames()
                    .forEach(f -> all.add(new TimedFrame(capture.wallMicros(f) - offsetMicros, capture.gateway(), f)));
        }
        all.sort(Comparator.comparingLong(
                TimedFrame::wallMicros)); // the sort is stable: frames of one gateway keep their order
        all.forEach(p -> System.out.println(p.wallMicros + " " + p.gateway + " " + FrameJson.line(p.frame)));
        return Program.OK;
    }
}

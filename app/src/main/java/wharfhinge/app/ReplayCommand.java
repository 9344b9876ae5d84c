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

/** Replays what a gateway captured. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Tells a capture's events to fresh decisions and compares what they decide with what was decided; exits with 1 at "
                        + "the first difference, or where the capture has a gap.")
final class ReplayCommand implements Callable<Integer> {
    private static final int SHOWN = 10;

    @Parameters(
            arity = "1..*",
            paramLabel = "CAPTURE",
            description = "A segment, a folder with one gateway's segments, or a fixture "
                    + "(.jsonl). Several are merged by --merge alone.")
    private List<Path> files;

    @Option(names = "--until", paramLabel = "S", description = "Stops so many seconds after the capture's first frame.")
    private Double until;

    @Option(
            names = "--call",
            paramLabel = "ID",
            description = "Tells why this call went where it went; the client's id or the " + "gateway's own.")
    private String call;

    @Option(
            names = "--what-if",
            paramLabel = "SETTINGS",
            description = "The same events under other settings: what would differ.")
    private Path whatIf;

    @Option(
            names = "--log",
            paramLabel = "FILE",
            description = "Writes each event with what the replay decided on it, a line each.")
    private Path log;

    @Option(
            names = "--reduce",
            paramLabel = "SYMPTOM",
            description = "Cuts the capture down to the least that still shows this, such as "
                    + "'attempt worker=127.0.0.1:7001 >= 3 and refuse >= 1', and writes it to --out.")
    private String symptom;

    @Option(names = "--out", paramLabel = "FILE", description = "Where a reduced capture goes, as a fixture.")
    private Path out;

    @Option(
            names = "--most-replays",
            defaultValue = "2000",
            description = "Replays that reducing may take. Default ${DEFAULT-VALUE}.")
    private int mostReplays;

    @Option(
            names = "--merge",
            description = "Prints the frames of all captures on one time line, by their wall clocks.")
    private boolean merge;

    @Option(
            names = "--skew",
            paramLabel = "GATEWAY=MS",
            description = "With --merge: this gateway's wall clock is so much ahead.")
    private Map<String, Double> skews = new HashMap<>();

    @Option(
            names = "--align",
            description = "With --merge: takes the skew of each gateway's clock to the first's as it is estimated from "
                    + "the changes of the list that both were told, where --skew does not tell it.")
    private boolean align;

    @Option(
            names = "--find",
            paramLabel = "ID",
            description = "Names the segments and times that tell of this call, without replaying; "
                    + "about one in a hundred blocks is named in vain.")
    private String find;

    @Option(
            names = "--symptom",
            paramLabel = "CLASS",
            description = "In place of the expression of --reduce: a class with a constructor "
                    + "without arguments that is a Predicate<List<Frame>>, found in --classes.")
    private String symptomClass;

    @Option(names = "--classes", paramLabel = "PATH", split = ":", description = "Jars and folders of --symptom.")
    private List<Path> classes = new ArrayList<>();

    @Override
    public Integer call() throws IOException, InvalidConfigurationException {
        if (merge) {
            return merged();
        }
        if (find != null) {
            return found();
        }
        if (files.size() > 1) {
            System.err.println("replay: found " + files.size() + " captures, allowed: one, or --merge");
            return Program.USAGE;
        }
        List<String> troubles = new ArrayList<>();
        List<Frame> frames = frames(files.get(0), troubles);
        if (frames.isEmpty()) {
            System.err.println(files.get(0) + ": holds no frames");
            return Program.WANTING;
        }
        long end = until == null ? lastOf(files.get(0)) : frames.get(0).at() + (long) (until * 1e9);
        troubles.forEach(t -> System.out.println("trouble: " + t));
        if (symptom != null || symptomClass != null) {
            return reduced(frames);
        }
        if (whatIf != null) {
            return otherSettings(frames, end);
        }
        return replayed(frames, end, troubles.isEmpty());
    }

    private static List<Frame> frames(Path file, List<String> troubles) throws IOException {
        if (file.toString().endsWith(".jsonl")) {
            return FrameJson.fixture(Files.readAllLines(file));
        }
        Capture capture = CaptureReader.read(file);
        troubles.addAll(capture.faults());
        return capture.frames();
    }

    private Integer replayed(List<Frame> frames, long end, boolean whole) throws IOException {
        CallExplanation account = new CallExplanation(call == null ? "" : call);
        Replayer.Result result;
        try (BufferedWriter decided = log == null ? null : Files.newBufferedWriter(log)) {
            result = new Replayer().replay(frames, end, new Replayer.Watcher() {
                @Override
                public void before(long index, Frame frame, Dispatcher dispatcher) {
                    if (call != null) {
                        account.before(index, frame, dispatcher);
                    }
                }

                @Override
                public void after(long index, Frame frame, List<RecordedAction> replayed) {
                    if (call != null) {
                        account.after(index, frame, replayed);
                    }
                    write(decided, new Frame(frame.at(), frame.event(), replayed, frame.thrown()));
                }
            });
        }
        if (call != null) {
            account.lines().forEach(System.out::println);
            if (account.lines().isEmpty()) {
                System.out.println("call " + call + " is not in this capture");
            }
        }
        System.out.printf(
                "%d frames compared in %d lives, %d after a gap left out, %d lost%n",
                result.compared(), result.incarnations(), result.skipped(), result.gaps());
        if (result.difference() != null) {
            result.difference().lines().forEach(System.out::println);
            return Program.WANTING;
        }
        System.out.println(
                whole && result.gaps() == 0
                        ? "all decisions are the same"
                        : "all decisions that can be compared are the same; the capture is not whole");
        return whole && result.gaps() == 0 && (call == null || !account.lines().isEmpty())
                ? Program.OK
                : Program.WANTING;
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

    /** Counterfactual: the events stay those that the captured decisions led to. */
    private Integer otherSettings(List<Frame> frames, long end) throws InvalidConfigurationException {
        GatewayConfig other = GatewayConfig.load(whatIf);
        long[] first = {-1};
        long[] differ = {0};
        List<String> shown = new ArrayList<>();
        Replayer.Result result = new Replayer(CacheAwareDispatcher::new, captured -> other.dispatcherSettings())
                .counterfactual(frames, end, new Replayer.Watcher() {
                    @Override
                    public void before(long index, Frame frame, Dispatcher dispatcher) {}

                    @Override
                    public void after(long index, Frame frame, List<RecordedAction> replayed) {
                        if (!replayed.equals(frame.acts())) {
                            first[0] = first[0] < 0 ? index : first[0];
                            differ[0]++;
                            if (shown.size() < 2 * SHOWN) {
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
        System.out.println("counterfactual: the same events under the settings of " + whatIf);
        shown.forEach(System.out::println);
        System.out.printf(
                "%d of %d frames would be decided otherwise%s%n",
                differ[0],
                result.compared(),
                first[0] < 0
                        ? ""
                        : "; valid to frame " + first[0]
                                + ": what follows are events that the captured decisions led to, not these");
        return Program.OK;
    }

    private Integer reduced(List<Frame> frames) throws IOException {
        if (out == null) {
            System.err.println("--reduce: --out is needed");
            return Program.USAGE;
        }
        try {
            Predicate<List<Frame>> wanted = symptomClass == null ? new FailurePredicate(symptom)::matches : ofClass();
            TraceMinimizer reducer = new TraceMinimizer(wanted, mostReplays);
            List<Frame> few = reducer.minimize(frames);
            Files.write(out, TraceMinimizer.fixtureLines("shows: " + (symptom == null ? symptomClass : symptom), few));
            System.out.printf(
                    "%d frames of %d after %d replays, in %s%n", few.size(), frames.size(), reducer.replays(), out);
            return Program.OK;
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            return Program.WANTING;
        }
    }

    @SuppressWarnings("unchecked")
    private Predicate<List<Frame>> ofClass() throws IOException {
        List<URL> urls = new ArrayList<>();
        for (Path path : classes) {
            urls.add(path.toUri().toURL());
        }
        try {
            Object made = Class.forName(
                            symptomClass,
                            true,
                            new URLClassLoader(
                                    urls.toArray(new URL[0]), getClass().getClassLoader()))
                    .getDeclaredConstructor()
                    .newInstance();
            if (made instanceof Predicate) {
                return (Predicate<List<Frame>>) made;
            }
            throw new IllegalArgumentException(
                    "--symptom: found " + symptomClass + ", allowed: a Predicate<List<Frame>>");
        } catch (ReflectiveOperationException | LinkageError e) {
            throw new IllegalArgumentException(
                    "--symptom: found " + symptomClass + ", which can't be made from " + classes + ": " + e, e);
        }
    }

    /** Nothing that comes after the last block which may tell of the call is needed for its account. */
    private long lastOf(Path at) throws IOException {
        if (call == null || at.toString().endsWith(".jsonl")) {
            return Long.MAX_VALUE;
        }
        return CaptureReader.index(at).stream()
                .filter(b -> b.names().mightContain(call))
                .mapToLong(CaptureReader.BlockHeader::lastNanos)
                .max()
                .orElse(Long.MAX_VALUE);
    }

    private Integer found() throws IOException {
        int blocks = 0;
        for (Path file : files) {
            for (CaptureReader.BlockHeader b : CaptureReader.index(file)) {
                if (b.names().mightContain(find)) {
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
        System.out.println(blocks == 0 ? "call " + find + " is in none of these captures" : blocks + " blocks");
        return blocks == 0 ? Program.WANTING : Program.OK;
    }

    private record Placed(long wallUs, String gateway, Frame frame) {}

    private long aheadUs(Capture first, Capture capture) {
        Optional<ClockOffset> skew = ClockOffset.estimate(first, capture);
        System.out.println("# " + capture.gateway()
                + skew.map(s -> String.format(
                                Locale.ROOT,
                                ": clock %.1f ms ahead of %s's, estimated from %d changes of the list, half of them within %.1f ms",
                                s.offsetMicros() / 1000.0,
                                first.gateway(),
                                s.samples(),
                                s.spreadMicros() / 1000.0))
                        .orElse(": shares no change of the list with " + first.gateway()
                                + ", its clock's skew can't be estimated"));
        Double told = skews.get(capture.gateway());
        return told != null
                ? (long) (told * 1000)
                : align ? skew.map(ClockOffset::offsetMicros).orElse(0L) : 0;
    }

    private Integer merged() throws IOException {
        List<Placed> all = new ArrayList<>();
        Capture first = null;
        for (Path file : files) {
            Capture capture = CaptureReader.read(file);
            capture.faults().forEach(t -> System.out.println("trouble: " + t));
            long aheadUs = first == null ? 0 : aheadUs(first, capture);
            first = first == null ? capture : first;
            capture.frames().forEach(f -> all.add(new Placed(capture.wallMicros(f) - aheadUs, capture.gateway(), f)));
        }
        all.sort(Comparator.comparingLong(Placed::wallUs)); // stable: one gateway's frames keep their order
        all.forEach(p -> System.out.println(p.wallUs + " " + p.gateway + " " + FrameJson.line(p.frame)));
        return Program.OK;
    }
}

package wharfhinge.app.measure;

import com.sun.management.ThreadMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.app.Program;
import wharfhinge.capture.RecordedAction;
import wharfhinge.capture.Recorder;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.ClientBehavior;
import wharfhinge.policy.DeduplicationScope;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.DispatchLimits;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.FunctionLoading;
import wharfhinge.policy.LoadFeedback;
import wharfhinge.policy.LoadReporting;
import wharfhinge.policy.ObjectiveWeights;
import wharfhinge.policy.OnMissBehavior;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Prices;
import wharfhinge.policy.PriorityUnit;
import wharfhinge.policy.ProtectionRules;
import wharfhinge.policy.Request;
import wharfhinge.policy.RequestClass;
import wharfhinge.policy.WeightReporting;

/** What the decisions on a call cost by the size of the fleet, without sockets. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures the decisions on a call (its query, its answer, its timers, its probes) at 20 to 3000 workers, believing "
                        + "itself one of 1 and of 100: microseconds and bytes allocated, warm, one thread, simulated time.")
final class DecisionCostCommand implements Callable<Integer> {
    private static final Pattern ROW = Pattern.compile("\\| (\\d+ \\| \\d+ \\|)( [0-9.]+ \\| \\d+ \\|)");
    private static final long MS = 1_000_000L;
    private static final int MOST_NOTED = 100_000; // decided on one event
    private static final int WARM = 40; // calls for each worker, so that most functions stand somewhere

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "The wharfhinge.jar of an earlier build, whose own measurement is shown beside.")
    private Path against;

    @Option(
            names = "--calls",
            defaultValue = "20000",
            description =
                    "Calls of each part, after half as many or 40 for each worker. " + "Default ${DEFAULT-VALUE}.")
    private int calls;

    @Option(
            names = "--workers",
            split = ",",
            defaultValue = "20,85,200,800,3000",
            description = "Sizes of the fleet. Default ${DEFAULT-VALUE}.")
    private int[] fleets;

    @Option(
            names = "--groups",
            split = ",",
            defaultValue = "1,100",
            description = "Sizes of the group. Default ${DEFAULT-VALUE}.")
    private int[] groups;

    @Override
    public Integer call() throws Exception {
        Map<String, String> earlier = against == null ? Map.of() : earlierRows(against);
        System.out.printf(
                "%d processors; %d calls of each part after %d or %d for each worker%n",
                Runtime.getRuntime().availableProcessors(), calls, calls / 2, WARM);
        new Fleet(CacheAwareDispatcher::new, 20, 1).run(calls); // the first row's compiler
        System.out.println("| workers | group | " + (against == null ? "" : "earlier us | earlier bytes | ")
                + "us a call | bytes a call |");
        System.out.println("| --- | --- | " + (against == null ? "" : "--- | --- | ") + "--- | --- |");
        for (int workers : fleets) {
            for (int group : groups) {
                String size = workers + " | " + group + " |";
                Fleet fleet = new Fleet(CacheAwareDispatcher::new, workers, group);
                fleet.run(Math.max(calls / 2, WARM * workers));
                long[] took = fleet.run(calls);
                System.out.println("| " + size + earlier.getOrDefault(size, "")
                        + String.format(Locale.ROOT, " %.1f | %d |", took[0] / 1000.0 / calls, took[1] / calls));
            }
        }
        return Program.OK;
    }

    /** The same measurement by an earlier build's own command, in a process of its own: figures by size of fleet and group. */
    private Map<String, String> earlierRows(Path jar) throws IOException, InterruptedException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(
                        java,
                        "-jar",
                        jar.toString(),
                        "measure",
                        "decisions",
                        "--calls=" + calls,
                        "--workers=" + joined(fleets),
                        "--groups=" + joined(groups))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        Map<String, String> rows = new HashMap<>();
        try (BufferedReader out = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                Matcher row = ROW.matcher(line);
                if (row.matches()) {
                    rows.put(row.group(1), row.group(2));
                }
            }
        }
        if (process.waitFor() != 0) {
            throw new IOException(jar + ": its 'measure decisions' ended with " + process.exitValue());
        }
        return rows;
    }

    private static String joined(int[] numbers) {
        return Arrays.stream(numbers).mapToObj(Integer::toString).collect(Collectors.joining(","));
    }

    private static DispatcherSettings settings(int group) {
        return new DispatcherSettings(
                group,
                0,
                2 * MS,
                "z",
                List.of("z"),
                List.of("k"),
                Discovery.PUSHED,
                WeightReporting.NOMINAL,
                PriorityUnit.REQUEST,
                0,
                List.of(new RequestClass(
                        "safe", Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 2000 * MS, 1, 0.2, false, 1)),
                List.of(),
                new FunctionLoading(
                        60_000 * MS,
                        false,
                        OnMissBehavior.LOAD,
                        10_000 * MS,
                        0,
                        0,
                        0,
                        0,
                        List.of(4096.0),
                        "",
                        "",
                        true,
                        true),
                new LoadFeedback(LoadReporting.PIGGYBACK, List.of("rif")),
                new ObjectiveWeights(1, 0, 0, 0),
                new DispatchLimits(
                        true, false, true, false, true, 3, 100_000, 1000 * MS, 250 * MS, 15_000 * MS, 100, 0, 0),
                new ProtectionRules(0, 0.2, 8000 * MS, 2, 1000 * MS, 2000 * MS, 16 * MS),
                new Prices(0, 0, 0, 0, 0, 0),
                new ClientBehavior(false));
    }

    private record Due(long at, long number, Runnable what) {}

    /** Workers that answer after 20 ms, half of the lanes of the fleet in use, functions asked for by rank. */
    private static final class Fleet implements DispatcherActions {
        private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        private final long self = Thread.currentThread().getId();
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
        private final Random random = new Random(1);
        private final Dispatcher to;
        private final int workers;
        private final RecordedAction.Kind[] kinds = new RecordedAction.Kind[MOST_NOTED];
        private final String[] firsts = new String[MOST_NOTED];
        private final String[] seconds = new String[MOST_NOTED];
        private final long[] delays = new long[MOST_NOTED];
        private int noted;
        private long now = MS;
        private long number;
        private long ids;
        private long took;
        private long bytes;

        Fleet(Recorder.DispatcherConstructor maker, int workers, int group) {
            this.workers = workers;
            List<Endpoint> list = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                list.add(new Endpoint("10.0.0." + i + ":7000", "z", "k", 0, Availability.UP, 1, 0));
            }
            to = maker.create(now, 1, settings(group), this);
            doNoted();
            told(() -> to.onEndpointUpdate(now, EndpointUpdateMode.FULL, 1, list));
        }

        /** Nanoseconds and bytes that the decisions on so many calls took. */
        long[] run(int calls) {
            took = 0;
            bytes = 0;
            long between = 40 * MS / workers; // half a call in flight for each worker
            for (int i = 0; i < calls; i++) {
                now += between;
                while (!queue.isEmpty() && queue.peek().at <= now) {
                    queue.poll().what.run();
                }
                String function = "f" + (int) (Math.pow(random.nextDouble(), 3) * workers * 4);
                Request request =
                        new Request("c" + ids++, null, 2000 * MS, 100, function, 20 * MS, 4, 300, "safe", false, false);
                told(() -> to.onRequest(now, request));
            }
            return new long[] {took, bytes};
        }

        /** What is decided is noted down in what is there already, and done once the clock has stopped. */
        private void told(Runnable what) {
            noted = 0;
            long allocated = threads.getThreadAllocatedBytes(self);
            long began = System.nanoTime();
            what.run();
            took += System.nanoTime() - began;
            bytes += threads.getThreadAllocatedBytes(self) - allocated;
            doNoted();
        }

        private void doNoted() {
            for (int i = 0; i < noted; i++) {
                String first = firsts[i];
                String second = seconds[i];
                switch (kinds[i]) {
                    case ATTEMPT -> answer(first, second);
                    case PROBE -> later(
                            MS,
                            () -> told(() -> to.onProbeCompleted(now, first, Outcome.SERVED, MS, Map.of("rif", 1.0))));
                    default -> later(delays[i], () -> told(() -> to.onTimer(now, first)));
                }
            }
        }

        private void note(RecordedAction.Kind kind, String first, String second, long delayNanos) {
            kinds[noted] = kind;
            firsts[noted] = first;
            seconds[noted] = second;
            delays[noted++] = delayNanos;
        }

        private void answer(String request, String worker) {
            AttemptCompletion end = new AttemptCompletion(
                    request, Outcome.SERVED, 0, 20 * MS, worker, CacheStatus.HIT, 0, true, Map.of("rif", (double)
                            random.nextInt(4)));
            later(20 * MS, () -> told(() -> to.onAttemptCompleted(now, end)));
        }

        private void later(long delayNanos, Runnable what) {
            queue.add(new Due(now + delayNanos, number++, what));
        }

        @Override
        public void sendAttempt(String request, String worker, long timeoutNanos) {
            note(RecordedAction.Kind.ATTEMPT, request, worker, timeoutNanos);
        }

        @Override
        public void probe(String worker) {
            note(RecordedAction.Kind.PROBE, worker, null, 0);
        }

        @Override
        public void scheduleTimer(String token, long delayNanos) {
            note(RecordedAction.Kind.TIMER, token, null, delayNanos);
        }

        @Override
        public void cancelAttempt(String request, int attempt) {}

        @Override
        public void reject(String request, long coolDownNanos) {}

        @Override
        public void fail(String request) {}

        @Override
        public void ensureLoaded(String worker, String function, int count) {}

        @Override
        public void unload(String worker, String function) {}

        @Override
        public void sendToPeers(int peer, byte[] payload) {}

        @Override
        public void watchEndpoints(boolean on) {}

        @Override
        public void refreshEndpoints() {}

        @Override
        public void closeIdleConnections(String worker) {}

        @Override
        public void logDiagnostic(String text) {}
    }
}

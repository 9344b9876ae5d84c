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

/** Measures the dispatcher's processor time and allocation per call by fleet size, without sockets. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures the dispatcher's decisions on a call (its request, its response, its timers, its probes) with 20 to 3000 "
                        + "workers and group sizes of 1 and 100 dispatchers: microseconds and allocated bytes per call after warm-up, on "
                        + "one thread in simulated time.")
final class DecisionCostCommand implements Callable<Integer> {
    private static final Pattern ROW = Pattern.compile("\\| (\\d+ \\| [\\w ]+ \\|)( [0-9.]+ \\| [0-9.]+ \\|)");
    private static final long MS = 1_000_000L;
    private static final int MAX_RECORDED_ACTIONS = 100_000; // by one event
    private static final int WARM_UP_CALLS_PER_WORKER = 40; // enough that most functions are loaded on some worker

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "The wharfhinge.jar of an earlier build; its own measurement is shown for comparison.")
    private Path earlierJar;

    @Option(
            names = "--calls",
            defaultValue = "20000",
            description =
                    "Measured calls for each size, after a warm-up of half as many or 40 per worker, whichever is more. "
                            + "Default ${DEFAULT-VALUE}.")
    private int calls;

    @Option(
            names = "--workers",
            split = ",",
            defaultValue = "20,85,200,800,3000",
            description = "Fleet sizes in workers, separated by commas. Default ${DEFAULT-VALUE}.")
    private int[] fleets;

    @Option(
            names = "--groups",
            split = ",",
            defaultValue = "1,100",
            description = "Group sizes in dispatchers, separated by commas. Default ${DEFAULT-VALUE}.")
    private int[] groups;

    @Option(
            names = "--list-workers",
            split = ",",
            defaultValue = "100,800,3200",
            description =
                    "Fleet sizes in workers for single events: a call of a known function, a call of a new one, a change of the list, an "
                            + "expired function. Default ${DEFAULT-VALUE}.")
    private int[] listFleets;

    @Override
    public Integer call() throws Exception {
        Map<String, String> earlier = earlierJar == null ? Map.of() : earlierRows(earlierJar);
        System.out.printf(
                "%d processors; %d calls of each part after %d or %d for each worker%n",
                Runtime.getRuntime().availableProcessors(), calls, calls / 2, WARM_UP_CALLS_PER_WORKER);
        new SimulatedFleet(CacheAwareDispatcher::new, 20, 1)
                .run(calls); // JIT compilation, so that it doesn't count in the first row
        System.out.println("| workers | group | " + (earlierJar == null ? "" : "earlier us | earlier bytes | ")
                + "us a call | bytes a call |");
        System.out.println("| --- | --- | " + (earlierJar == null ? "" : "--- | --- | ") + "--- | --- |");
        for (int workers : fleets) {
            for (int group : groups) {
                String size = workers + " | " + group + " |";
                SimulatedFleet fleet = new SimulatedFleet(CacheAwareDispatcher::new, workers, group);
                fleet.run(Math.max(calls / 2, WARM_UP_CALLS_PER_WORKER * workers));
                long[] cost = fleet.run(calls);
                System.out.println("| " + size + earlier.getOrDefault(size, "")
                        + String.format(Locale.ROOT, " %.1f | %d |", cost[0] / 1000.0 / calls, cost[1] / calls));
            }
        }
        ListChangeCost.print(settings(1), listFleets, earlier);
        return Program.OK;
    }

    /** Runs this command of an earlier build in its own process; returns the figures of its rows by fleet and group size. */
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
                        "--groups=" + joined(groups),
                        "--list-workers=" + joined(listFleets))
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
            throw new IOException(jar + ": 'measure decisions' exited with code " + process.exitValue());
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

    private record ScheduledEvent(long at, long sequence, Runnable action) {}

    /** Simulated workers that respond after 20 ms; calls come at half a call in flight per worker, for functions of skewed popularity. */
    private static final class SimulatedFleet extends IgnoringActions {
        private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        private final long threadId = Thread.currentThread().getId();
        private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledEvent::at).thenComparingLong(ScheduledEvent::sequence));
        private final Random random = new Random(1);
        private final Dispatcher dispatcher;
        private final int workers;
        private final RecordedAction.Kind[] kinds = new RecordedAction.Kind[MAX_RECORDED_ACTIONS];
        private final String[] firstArguments = new String[MAX_RECORDED_ACTIONS];
        private final String[] secondArguments = new String[MAX_RECORDED_ACTIONS];
        private final long[] delaysNanos = new long[MAX_RECORDED_ACTIONS];
        private int recordedCount;
        private long now = MS;
        private long nextSequence;
        private long nextId;
        private long elapsedNanos;
        private long allocatedBytes;

        SimulatedFleet(Recorder.DispatcherConstructor constructor, int workers, int group) {
            this.workers = workers;
            List<Endpoint> list = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                list.add(new Endpoint("10.0.0." + i + ":7000", "z", "k", 0, Availability.UP, 1, 0));
            }
            dispatcher = constructor.create(now, 1, settings(group), this);
            performRecordedActions();
            runTimed(() -> dispatcher.onEndpointUpdate(now, EndpointUpdateMode.FULL, 1, list));
        }

        /** Runs the given number of calls; returns the nanoseconds and the allocated bytes of the decisions on them. */
        long[] run(int calls) {
            elapsedNanos = 0;
            allocatedBytes = 0;
            long intervalNanos = 40 * MS / workers; // half a call in flight for each worker
            for (int i = 0; i < calls; i++) {
                now += intervalNanos;
                while (!queue.isEmpty() && queue.peek().at <= now) {
                    queue.poll().action.run();
                }
                String function = "f" + (int) (Math.pow(random.nextDouble(), 3) * workers * 4);
                Request request = new Request(
                        "c" + nextId++, null, 2000 * MS, 100, function, 20 * MS, 4, 300, "safe", false, false);
                runTimed(() -> dispatcher.onRequest(now, request));
            }
            return new long[] {elapsedNanos, allocatedBytes};
        }

        /** Times one event. Its actions are only recorded, in preallocated arrays, and carried out after the time was taken. */
        private void runTimed(Runnable event) {
            recordedCount = 0;
            long allocatedBefore = threadBean.getThreadAllocatedBytes(threadId);
            long startedAt = System.nanoTime();
            event.run();
            elapsedNanos += System.nanoTime() - startedAt;
            allocatedBytes += threadBean.getThreadAllocatedBytes(threadId) - allocatedBefore;
            performRecordedActions();
        }

        private void performRecordedActions() {
            for (int i = 0; i < recordedCount; i++) {
                String first = firstArguments[i];
                String second = secondArguments[i];
                switch (kinds[i]) {
                    case ATTEMPT -> respond(first, second);
                    case PROBE -> schedule(
                            MS,
                            () -> runTimed(() ->
                                    dispatcher.onProbeCompleted(now, first, Outcome.SERVED, MS, Map.of("rif", 1.0))));
                    default -> schedule(delaysNanos[i], () -> runTimed(() -> dispatcher.onTimer(now, first)));
                }
            }
        }

        private void recordAction(RecordedAction.Kind kind, String first, String second, long delayNanos) {
            kinds[recordedCount] = kind;
            firstArguments[recordedCount] = first;
            secondArguments[recordedCount] = second;
            delaysNanos[recordedCount++] = delayNanos;
        }

        private void respond(String request, String worker) {
            AttemptCompletion completion = new AttemptCompletion(
                    request, Outcome.SERVED, 0, 20 * MS, worker, CacheStatus.HIT, 0, true, Map.of("rif", (double)
                            random.nextInt(4)));
            schedule(20 * MS, () -> runTimed(() -> dispatcher.onAttemptCompleted(now, completion)));
        }

        private void schedule(long delayNanos, Runnable action) {
            queue.add(new ScheduledEvent(now + delayNanos, nextSequence++, action));
        }

        @Override
        public void sendAttempt(String request, String worker, long timeoutNanos) {
            recordAction(RecordedAction.Kind.ATTEMPT, request, worker, timeoutNanos);
        }

        @Override
        public void probe(String worker) {
            recordAction(RecordedAction.Kind.PROBE, worker, null, 0);
        }

        @Override
        public void scheduleTimer(String token, long delayNanos) {
            recordAction(RecordedAction.Kind.TIMER, token, null, delayNanos);
        }
    }
}

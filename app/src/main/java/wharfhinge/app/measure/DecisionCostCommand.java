package wharfhinge.app.measure;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.io.InputStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharfhinge.Choice;
import wharfhinge.Dispatcher;
import wharfhinge.Dispatcher.Completion;
import wharfhinge.Dispatcher.Note;
import wharfhinge.Dispatcher.Outcome;
import wharfhinge.Dispatcher.Request;
import wharfhinge.Dispatcher.Settings;
import wharfhinge.Dispatcher.Worker;
import wharfhinge.app.Program;
import wharfhinge.capture.Act;
import wharfhinge.capture.Recorder;

/** What the decisions on a call cost by the size of the fleet, without sockets. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures the decisions on a call (its query, its answer, its timers, its probes) at 20 to 3000 workers, believing "
                        + "itself one of 1 and of 100: microseconds and bytes allocated, warm, one thread, simulated time.")
final class DecisionCostCommand implements Callable<Integer> {
    private static final long MS = 1_000_000L;
    private static final int MOST_NOTED = 100_000; // decided on one event
    private static final int WARM = 40; // calls for each worker, so that most functions stand somewhere

    @Option(
            names = "--against",
            paramLabel = "JAR",
            description = "A jar of an earlier build, whose decisions are measured beside.")
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
        List<Recorder.Maker> makers = new ArrayList<>(List.of(Choice::new));
        if (against != null) {
            makers.add(0, earlier(against));
        }
        System.out.printf(
                "%d processors; %d calls of each part after %d or %d for each worker%n",
                Runtime.getRuntime().availableProcessors(), calls, calls / 2, WARM);
        for (Recorder.Maker maker : makers) {
            new Fleet(maker, 20, 1).run(calls); // the first row's compiler
        }
        System.out.println("| workers | group | " + (against == null ? "" : "earlier us | earlier bytes | ")
                + "us a call | bytes a call |");
        System.out.println("| --- | --- | " + (against == null ? "" : "--- | --- | ") + "--- | --- |");
        for (int workers : fleets) {
            for (int group : groups) {
                StringBuilder row = new StringBuilder("| " + workers + " | " + group + " |");
                for (Recorder.Maker maker : makers) {
                    Fleet fleet = new Fleet(maker, workers, group);
                    fleet.run(Math.max(calls / 2, WARM * workers));
                    long[] took = fleet.run(calls);
                    row.append(String.format(
                            java.util.Locale.ROOT, " %.1f | %d |", took[0] / 1000.0 / calls, took[1] / calls));
                }
                System.out.println(row);
            }
        }
        return Program.OK;
    }

    /** The decisions of another jar, beside these: its classes of the policy, this program's interface. */
    private static Recorder.Maker earlier(Path jar) throws IOException, ReflectiveOperationException {
        ClassLoader loader = new ClassLoader(Choice.class.getClassLoader()) {
            @Override
            protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
                if (!name.equals("wharfhinge.Choice") && !name.startsWith("wharfhinge.Choice$")) {
                    return super.loadClass(name, resolve);
                }
                Class<?> known = findLoadedClass(name);
                if (known != null) {
                    return known;
                }
                try (ZipFile zip = new ZipFile(jar.toFile())) {
                    ZipEntry entry = zip.getEntry(name.replace('.', '/') + ".class");
                    if (entry == null) {
                        throw new ClassNotFoundException(name + " in " + jar);
                    }
                    try (InputStream in = zip.getInputStream(entry)) {
                        byte[] bytes = in.readAllBytes();
                        return defineClass(name, bytes, 0, bytes.length);
                    }
                } catch (IOException e) {
                    throw new ClassNotFoundException(name, e);
                }
            }
        };
        var made = loader.loadClass("wharfhinge.Choice")
                .getConstructor(long.class, long.class, Settings.class, Dispatcher.Actions.class);
        return (now, seed, settings, actions) -> {
            try {
                return (Dispatcher) made.newInstance(now, seed, settings, actions);
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        };
    }

    private static Settings settings(int group) {
        return new Settings(
                group,
                0,
                2 * MS,
                "z",
                List.of("z"),
                List.of("k"),
                Dispatcher.Discovery.PUSHED,
                Dispatcher.Weights.NOMINAL,
                Dispatcher.WorthBy.REQUEST,
                0,
                List.of(new Dispatcher.RequestClass(
                        "safe",
                        Dispatcher.Effect.IDEMPOTENT,
                        Dispatcher.Group.ALL,
                        0,
                        600 * MS,
                        2000 * MS,
                        1,
                        0.2,
                        false,
                        1)),
                List.of(),
                new Dispatcher.FamilyInfo(
                        60_000 * MS,
                        false,
                        Dispatcher.NotLoaded.LOAD,
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
                new Dispatcher.Feedback(Dispatcher.Reports.PIGGYBACK, List.of("rif")),
                new Dispatcher.Goal(1, 0, 0, 0),
                new Dispatcher.Limits(
                        true, false, true, false, true, 3, 100_000, 1000 * MS, 250 * MS, 15_000 * MS, 100, 0, 0),
                new Dispatcher.Obligations(0, 0.2, 8000 * MS, 2, 1000 * MS, 2000 * MS, 16 * MS),
                new Dispatcher.Prices(0, 0, 0, 0, 0, 0),
                new Dispatcher.Callers(false));
    }

    private record Due(long at, long number, Runnable what) {}

    /** Workers that answer after 20 ms, half of the lanes of the fleet in use, functions asked for by rank. */
    private static final class Fleet implements Dispatcher.Actions {
        private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        private final long self = Thread.currentThread().getId();
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
        private final Random random = new Random(1);
        private final Dispatcher to;
        private final int workers;
        private final Act.Kind[] kinds = new Act.Kind[MOST_NOTED];
        private final String[] firsts = new String[MOST_NOTED];
        private final String[] seconds = new String[MOST_NOTED];
        private final long[] delays = new long[MOST_NOTED];
        private int noted;
        private long now = MS;
        private long number;
        private long ids;
        private long took;
        private long bytes;

        Fleet(Recorder.Maker maker, int workers, int group) {
            this.workers = workers;
            List<Worker> list = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                list.add(new Worker("10.0.0." + i + ":7000", "z", "k", 0, Dispatcher.Availability.UP, 1, 0));
            }
            to = maker.create(now, 1, settings(group), this);
            doNoted();
            told(() -> to.members(now, Dispatcher.ListMode.ALL, 1, list));
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
                told(() -> to.query(now, request));
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
                            MS, () -> told(() -> to.probed(now, first, Outcome.SERVED, MS, Map.of("rif", 1.0))));
                    default -> later(delays[i], () -> told(() -> to.due(now, first)));
                }
            }
        }

        private void note(Act.Kind kind, String first, String second, long delayNs) {
            kinds[noted] = kind;
            firsts[noted] = first;
            seconds[noted] = second;
            delays[noted++] = delayNs;
        }

        private void answer(String request, String worker) {
            Completion end = new Completion(
                    request, Outcome.SERVED, 0, 20 * MS, worker, Note.FOUND_LOADED, 0, true, Map.of("rif", (double)
                            random.nextInt(4)));
            later(20 * MS, () -> told(() -> to.completed(now, end)));
        }

        private void later(long delayNs, Runnable what) {
            queue.add(new Due(now + delayNs, number++, what));
        }

        @Override
        public void attempt(String request, String worker, long timeoutNs) {
            note(Act.Kind.ATTEMPT, request, worker, timeoutNs);
        }

        @Override
        public void probe(String worker) {
            note(Act.Kind.PROBE, worker, null, 0);
        }

        @Override
        public void timer(String token, long delayNs) {
            note(Act.Kind.TIMER, token, null, delayNs);
        }

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void refuse(String request, long coolDownNs) {}

        @Override
        public void fail(String request) {}

        @Override
        public void hold(String worker, String function, int count) {}

        @Override
        public void unload(String worker, String function) {}

        @Override
        public void publish(int peer, byte[] payload) {}

        @Override
        public void listen(boolean on) {}

        @Override
        public void reload() {}

        @Override
        public void hangUp(String worker) {}

        @Override
        public void remark(String text) {}
    }
}

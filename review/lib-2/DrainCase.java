import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A dispatcher and four runners, one of which begins to drain while discovery is down. */
abstract class DrainCase extends Case {
    private static final int RUNNERS = 4;
    private static final int FUNCTIONS = 24;
    private static final long GRACE_MILLIS = 500;
    private static final long SLACK_MILLIS = 50;
    /** What the feed would have told counts as told no later than this after it broke off. */
    private static final long TOLD_AFTER_MILLIS = 4000;

    /** What a runner got: a call, or an order to load. */
    private record Work(String runner, String function, double at) {}

    private final List<Work> received = new ArrayList<>();
    final Config config = new Config();
    Feed feed;
    Client client;
    private Dispatcher dispatcher;
    private Runner draining;
    /** The functions whose calls the draining runner served before. */
    private List<Integer> functions;

    private double brokeOffAt;
    private double drainedAt;
    private int called;

    private final class RecordingRunner extends Runner {
        RecordingRunner(String id) throws IOException {
            super(id, "127.0.0.1");
        }

        @Override
        void onCall(String request, Map<String, String> fields) {
            add(fields.get("path"));
        }

        @Override
        void onLoad(String request, String function, int count) {
            if (count > 0) {
                add(function);
            }
        }

        private void add(String function) {
            synchronized (received) {
                received.add(new Work(id, function, Record.now()));
            }
        }
    }

    /** Starts everything, calls each function twice, and chooses the runner that serves most functions. */
    final void start() throws Exception {
        List<Runner> runners = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new RecordingRunner("s-" + i);
            runners.add(runner);
            entries.add(Feed.entry(runner.id, runner.address, "ready", 0));
        }
        feed = new Feed();
        feed.tell(entries);
        config.feed = feed.address();
        config.known = feed.known();
        config.drainGraceMillis = GRACE_MILLIS;
        dispatcher = new Dispatcher(temporary, config.port);
        dispatcher.writeConfig(config.json());
        dispatcher.start();
        if (!dispatcher.awaitReady()) {
            dispatcher.recordLog();
            throw new CannotRun("the dispatcher is not ready after 30 s");
        }
        client = new Client(config.port);
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < FUNCTIONS; i++) {
                call(i).await(3000);
            }
        }
        Map<String, List<Integer>> functionsByRunner = new HashMap<>();
        for (int i = 0; i < FUNCTIONS; i++) {
            functionsByRunner.computeIfAbsent(lastRunner(name(i)), id -> new ArrayList<>()).add(i);
        }
        draining = runners.stream()
                .max((a, b) -> functionsByRunner.getOrDefault(a.id, List.of()).size()
                        - functionsByRunner.getOrDefault(b.id, List.of()).size())
                .orElseThrow();
        functions = functionsByRunner.get(draining.id);
    }

    private String lastRunner(String function) throws CannotRun {
        synchronized (received) {
            return received.stream()
                    .filter(work -> work.function().equals(function))
                    .reduce((a, b) -> b)
                    .map(Work::runner)
                    .orElseThrow(() -> new CannotRun("a call before the disruption was not run"));
        }
    }

    /** Discovery breaks off, where there is to be trouble, and a second later the chosen runner begins to drain. */
    final void breakOffAndDrain() throws Exception {
        brokeOffAt = Record.now();
        if (TROUBLE) {
            feed.goDown();
        }
        Thread.sleep(1000);
        draining.isDraining = true;
        feed.tell(List.of(Feed.entry(draining.id, draining.address, "draining", 0)));
        drainedAt = Record.now();
        Record.line("runner %s drains, functions called on it: %d", draining.id, functions.size());
    }

    /** Sleeps until this long after discovery broke off. */
    final void sleepUntil(long millis) {
        Runner.sleep((long) Math.max(0, brokeOffAt + millis - Record.now()));
    }

    /** Calls the functions that the draining runner served, one call in each interval. */
    final void callFor(long millis, long intervalMillis) throws Exception {
        List<Client.Call> calls = new ArrayList<>();
        for (double end = Record.now() + millis; Record.now() < end; Thread.sleep(intervalMillis)) {
            calls.add(call(functions.get(called++ % functions.size())));
        }
        for (Client.Call call : calls) {
            call.await(3500);
        }
    }

    private static String name(int function) {
        return String.format("%016x", 0xabc000 + function);
    }

    private Client.Call call(int function) throws Exception {
        return client.call("save", name(function), 2500, ",tags=memory_mb:64;lanes:4;load_ms:30", "x");
    }

    /** Whether the draining runner got nothing after the last time that the rule allows. */
    final boolean judge() throws Exception {
        dispatcher.recordLog();
        dispatcher.kill();
        double toldAt = TROUBLE ? brokeOffAt + TOLD_AFTER_MILLIS : drainedAt;
        double lastAllowed = toldAt + GRACE_MILLIS + SLACK_MILLIS;
        List<Work> late;
        synchronized (received) {
            late = received.stream()
                    .filter(work -> work.runner().equals(draining.id) && work.at() > lastAllowed)
                    .toList();
        }
        late.forEach(work -> Record.line("sent to a draining runner: %s at %.1f", work.function(), work.at()));
        Record.result(
                "runner %s counts as told draining at %.1f, sends allowed until %.1f; %d sent later",
                draining.id, toldAt, lastAllowed, late.size());
        return late.isEmpty();
    }
}

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Discovery is down for five seconds, and slow as it comes back. A runner begins to drain meanwhile. */
final class DrainBehindAnEarlyHead extends Case {
    private static final int RUNNERS = 4;
    private static final int FUNCTIONS = 24;
    private static final long GRACE_MILLIS = 500;
    private static final long SLACK_MILLIS = 50;
    /** What the feed would have told counts as told no later than this after it broke off. */
    private static final long TOLD_AFTER_MILLIS = 4000;

    private static final long OUTAGE_MILLIS = 5000;
    /** From the head of the feed's answer to its first event; less than the second within which a comment comes. */
    private static final long SLOW_MILLIS = 900;

    public static void main(String[] arguments) {
        new DrainBehindAnEarlyHead().run(arguments[0]);
    }

    /** What a runner got: a call, or an order to load. */
    private record Work(String runner, String function, double at) {}

    private final List<Work> received = new ArrayList<>();

    private final class RecordingRunner extends Runner {
        RecordingRunner(String id) throws java.io.IOException {
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

    @Override
    boolean play() throws Exception {
        List<Runner> runners = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            Runner runner = new RecordingRunner("s-" + i);
            runners.add(runner);
            entries.add(Feed.entry(runner.id, runner.address, "ready", 0));
        }
        Feed feed = new Feed();
        feed.tell(entries);
        Config config = new Config();
        config.feed = feed.address();
        config.known = feed.known();
        config.drainGraceMillis = GRACE_MILLIS;
        Dispatcher dispatcher = new Dispatcher(temporary, config.port);
        dispatcher.writeConfig(config.json());
        dispatcher.start();
        if (!dispatcher.awaitReady()) {
            dispatcher.recordLog();
            throw new CannotRun("the dispatcher is not ready after 30 s");
        }
        Client client = new Client(config.port);
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < FUNCTIONS; i++) {
                call(client, i).await(3000);
            }
        }
        Map<String, List<Integer>> functionsByRunner = new HashMap<>();
        synchronized (received) {
            for (int i = 0; i < FUNCTIONS; i++) {
                String name = name(i);
                Work last = received.stream().filter(work -> work.function().equals(name)).reduce((a, b) -> b).orElse(null);
                if (last == null) {
                    throw new CannotRun("a call before the disruption was not run");
                }
                functionsByRunner.computeIfAbsent(last.runner(), id -> new ArrayList<>()).add(i);
            }
        }
        Runner draining = runners.stream()
                .max((a, b) -> functionsByRunner.getOrDefault(a.id, List.of()).size()
                        - functionsByRunner.getOrDefault(b.id, List.of()).size())
                .orElseThrow();
        List<Integer> functions = functionsByRunner.get(draining.id);

        double brokeOffAt = Record.now();
        if (TROUBLE) {
            feed.goDown();
        }
        Thread.sleep(1000);
        draining.isDraining = true;
        feed.tell(List.of(Feed.entry(draining.id, draining.address, "draining", 0)));
        double drainedAt = Record.now();
        Record.line("runner %s drains, functions called on it: %d", draining.id, functions.size());
        Runner.sleep((long) (brokeOffAt + OUTAGE_MILLIS - Record.now()));
        if (TROUBLE) {
            feed.delayMillis = SLOW_MILLIS;
            feed.comeBack();
            feed.awaitQuestion(5000);
        }
        List<Client.Call> calls = new ArrayList<>();
        for (double end = Record.now() + 1500; Record.now() < end; Thread.sleep(50)) {
            calls.add(call(client, functions.get(calls.size() % functions.size())));
        }
        for (Client.Call call : calls) {
            call.await(3500);
        }
        dispatcher.recordLog();
        dispatcher.kill();
        double toldAt = TROUBLE ? brokeOffAt + TOLD_AFTER_MILLIS : drainedAt;
        return judge(draining, toldAt);
    }

    private static String name(int function) {
        return String.format("%016x", 0xabc000 + function);
    }

    private static Client.Call call(Client client, int function) throws Exception {
        return client.call("save", name(function), 2500, ",tags=memory_mb:64;lanes:4;load_ms:30", "x");
    }

    private boolean judge(Runner draining, double toldAt) {
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

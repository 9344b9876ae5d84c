import java.util.ArrayList;
import java.util.List;

/** Half of a fleet of 3,200 runners is replaced; then a new configuration moves discovery with SIGHUP. */
final class ReloadOfALargeList extends Case {
    private static final int RUNNERS = 3200;
    private static final int STEPS = 8;
    private static final int REPLACED_EACH_STEP = RUNNERS / 2 / STEPS;
    private static final long DEADLINE_MILLIS = 2500;
    /** An answer may come up to half a second after the time of its request; each limit is 50 ms longer. */
    private static final long LAST_ANSWER_MILLIS = DEADLINE_MILLIS + 500 + 50;

    public static void main(String[] arguments) {
        new ReloadOfALargeList().run(arguments[0]);
    }

    private final List<Client.Call> calls = new ArrayList<>();
    private Client client;
    private int sent;

    @Override
    boolean play() throws Exception {
        Fleet fleet = new Fleet(RUNNERS);
        Feed feed = new Feed();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            all.add(entry(i, fleet, "ready", 0));
        }
        feed.tell(all);
        Config config = new Config();
        config.feed = feed.address();
        config.known = feed.known();
        config.deadlineMillis = DEADLINE_MILLIS;
        Dispatcher dispatcher = new Dispatcher(temporary, config.port);
        dispatcher.writeConfig(config.json());
        dispatcher.start();
        if (!dispatcher.awaitReady()) {
            dispatcher.recordLog();
            throw new CannotRun("the dispatcher is not ready after 30 s");
        }
        client = new Client(config.port);
        callFor(2000);
        for (int step = 0; step < STEPS; step++) {
            replace(feed, fleet, step);
        }
        callFor(2000);
        if (!dispatcher.isAlive()) {
            dispatcher.recordLog();
            throw new CannotRun("the dispatcher ended before the disruption");
        }
        if (TROUBLE) {
            Feed next = new Feed();
            next.copy(feed);
            config.feed = next.address();
            config.known = next.known();
            dispatcher.writeConfig(config.json());
            Record.line("new configuration of %d bytes, event %d is the last", config.json().length(), next.size());
            dispatcher.signal("HUP");
            callFor(1500);
            feed.goDown();
        }
        callFor(3000);
        Thread.sleep(LAST_ANSWER_MILLIS);
        return judge(dispatcher);
    }

    private static String entry(int number, Fleet fleet, String state, long startedAtMillis) {
        return Feed.entry(
                String.format("s-%08x", number), fleet.addresses.get(number % RUNNERS), state, startedAtMillis);
    }

    /** Replaces runners by new ones with new ids at the addresses of those that have gone. */
    private void replace(Feed feed, Fleet fleet, int step) throws Exception {
        List<String> draining = new ArrayList<>();
        List<String> replaced = new ArrayList<>();
        for (int i = step * REPLACED_EACH_STEP; i < (step + 1) * REPLACED_EACH_STEP; i++) {
            draining.add(entry(i, fleet, "draining", 0));
            replaced.add(entry(i, fleet, "gone", 0));
            replaced.add(entry(RUNNERS + i, fleet, "ready", System.currentTimeMillis()));
        }
        feed.tell(draining);
        callFor(1000);
        feed.tell(replaced);
        callFor(1000);
    }

    /** Sends 20 calls a second. */
    private void callFor(long millis) throws Exception {
        for (double end = Record.now() + millis; Record.now() < end; Thread.sleep(50)) {
            try {
                calls.add(client.call(
                        "save", String.format("%016x", sent++ % 40 + 1), DEADLINE_MILLIS, ",tags=memory_mb:64;lanes:4", "x"));
            } catch (java.io.IOException e) {
                Record.line("client: the connection has ended: %s", e);
                Thread.sleep(200);
            }
        }
    }

    private boolean judge(Dispatcher dispatcher) throws Exception {
        int lost = 0;
        for (Client.Call call : calls) {
            Client.Answer answer = call.await(0);
            boolean isLost = answer == null || answer.isLost() || answer.at() - call.sentAt() > LAST_ANSWER_MILLIS;
            lost += isLost ? 1 : 0;
            if (isLost) {
                Record.line("lost: %s, sent at %.1f", call.id(), call.sentAt());
            }
        }
        boolean crashed = !dispatcher.isAlive();
        dispatcher.recordLog();
        Record.result("%d calls, %d lost; dispatcher %s", calls.size(), lost, crashed ? "ended with code " + dispatcher.exitCode() : "alive");
        dispatcher.kill();
        return !crashed && lost == 0;
    }
}

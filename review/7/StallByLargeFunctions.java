import java.util.ArrayList;
import java.util.List;

/** A bad client sends 200 requests at once, whose functions need more memory than any runner has. */
final class StallByLargeFunctions extends Case {
    private static final int RUNNERS = 3200;
    private static final int BAD_REQUESTS = 200;
    private static final int BAD_CONNECTIONS = 10;
    private static final int CONNECTIONS = 10;
    private static final long DEADLINE_MILLIS = 2500;
    /** An answer may come up to half a second after the time of its request; each limit is 50 ms longer. */
    private static final long LAST_ANSWER_MILLIS = DEADLINE_MILLIS + 500 + 50;

    public static void main(String[] arguments) {
        new StallByLargeFunctions().run(arguments[0]);
    }

    private final List<Client> clients = new ArrayList<>();
    private final List<Client.Call> calls = new ArrayList<>();

    @Override
    boolean play() throws Exception {
        Fleet fleet = new Fleet(RUNNERS);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            entries.add(Feed.entry(String.format("s-%08x", i), fleet.addresses.get(i), "ready", 0));
        }
        Feed feed = new Feed();
        feed.tell(entries);
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
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(new Client(config.port));
        }
        callFor(3000);
        if (TROUBLE) {
            beBad(config.port);
        }
        callFor(8000);
        Thread.sleep(LAST_ANSWER_MILLIS);
        return judge(dispatcher);
    }

    /** Sends the bad requests, 20 on each of ten connections. */
    private static void beBad(int port) throws Exception {
        List<Client> connections = new ArrayList<>();
        for (int i = 0; i < BAD_CONNECTIONS; i++) {
            connections.add(new Client(port));
        }
        for (int i = 0; i < BAD_REQUESTS; i++) {
            connections.get(i % BAD_CONNECTIONS)
                    .call("save", String.format("%016x", 0xbad0000L + i), DEADLINE_MILLIS, ",tags=memory_mb:900000000;lanes:1", "x");
        }
        Record.line("bad client: %d requests sent", BAD_REQUESTS);
    }

    /** The usual clients: 20 calls a second, over ten connections. */
    private void callFor(long millis) throws Exception {
        for (double end = Record.now() + millis; Record.now() < end; Thread.sleep(50)) {
            Client client = clients.get(calls.size() % CONNECTIONS);
            String function = String.format("%016x", calls.size() % 10 + 1);
            calls.add(client.call("save", function, DEADLINE_MILLIS, ",tags=memory_mb:64;lanes:4", "x"));
        }
    }

    private boolean judge(Dispatcher dispatcher) throws Exception {
        int lost = 0;
        double longest = 0;
        for (Client.Call call : calls) {
            Client.Answer answer = call.await(0);
            double took = answer == null ? Double.POSITIVE_INFINITY : answer.at() - call.sentAt();
            longest = Math.max(longest, took);
            if (answer == null || answer.isLost() || took > LAST_ANSWER_MILLIS) {
                lost++;
                Record.line("lost: %s, sent at %.1f, answer after %.1f ms", call.id(), call.sentAt(), took);
            }
        }
        dispatcher.recordLog();
        Record.result(
                "%d calls of usual clients, %d lost, longest time to an answer %.0f ms (deadline %d ms); dispatcher %s",
                calls.size(), lost, longest, DEADLINE_MILLIS, dispatcher.isAlive() ? "alive" : "ended");
        boolean held = lost == 0 && dispatcher.isAlive();
        dispatcher.kill();
        return held;
    }
}

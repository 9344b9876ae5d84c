import java.util.ArrayList;
import java.util.List;

/** A dispatcher and 3,200 runners. */
abstract class FleetCase extends Case {
    static final int RUNNERS = 3200;

    final Config config = new Config();
    boolean onOneCore;
    Fleet fleet;
    Feed feed;
    Dispatcher dispatcher;

    /** Starts runners, feed and dispatcher. */
    final void start() throws Exception {
        fleet = new Fleet(RUNNERS);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < RUNNERS; i++) {
            entries.add(entry(i, "ready", 0));
        }
        feed = new Feed();
        feed.tell(entries);
        config.feed = feed.address();
        config.known = feed.known();
        config.deadlineMillis = UsualClients.DEADLINE_MILLIS;
        dispatcher = new Dispatcher(temporary, config.port);
        dispatcher.writeConfig(config.json());
        if (onOneCore) {
            dispatcher.startOnOneCore();
        } else {
            dispatcher.start();
        }
        if (!dispatcher.awaitReady()) {
            dispatcher.recordLog();
            throw new CannotRun("the dispatcher is not ready after 30 s");
        }
    }

    /** The entry of a runner in the list; from number 3,200 on, runners have the addresses of former ones. */
    final String entry(int number, String state, long startedAtMillis) {
        return Feed.entry(
                String.format("s-%08x", number), fleet.addresses.get(number % RUNNERS), state, startedAtMillis);
    }

    /** Whether no call was lost and the dispatcher has not ended. */
    final boolean judge(UsualClients clients) throws Exception {
        int lost = clients.countLost();
        boolean alive = dispatcher.isAlive();
        dispatcher.recordLog();
        Record.result("dispatcher %s", alive ? "alive" : "ended with code " + dispatcher.exitCode());
        dispatcher.kill();
        return alive && lost == 0;
    }
}

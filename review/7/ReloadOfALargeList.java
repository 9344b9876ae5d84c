import java.util.ArrayList;
import java.util.List;

/** Half of a fleet of 3,200 runners is replaced; then a new configuration moves discovery with SIGHUP. */
final class ReloadOfALargeList extends FleetCase {
    private static final int STEPS = 8;
    private static final int REPLACED_EACH_STEP = RUNNERS / 2 / STEPS;
    private UsualClients clients;

    public static void main(String[] arguments) {
        new ReloadOfALargeList().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        start();
        clients = new UsualClients(config.port, 40, 20);
        clients.callFor(2000);
        for (int step = 0; step < STEPS; step++) {
            replace(step * REPLACED_EACH_STEP, (step + 1) * REPLACED_EACH_STEP);
        }
        clients.callFor(2000);
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
            clients.callFor(1500);
            feed.goDown();
        }
        clients.callFor(3000);
        return judge(clients);
    }

    /** Replaces runners by new ones with new ids at the addresses of those that have gone. */
    private void replace(int from, int to) throws Exception {
        List<String> draining = new ArrayList<>();
        List<String> replaced = new ArrayList<>();
        for (int i = from; i < to; i++) {
            draining.add(entry(i, "draining", 0));
            replaced.add(entry(i, "gone", 0));
            replaced.add(entry(RUNNERS + i, "ready", System.currentTimeMillis()));
        }
        feed.tell(draining);
        clients.callFor(1000);
        for (int i = from; i < to; i++) {
            fleet.restart(i);
        }
        feed.tell(replaced);
        clients.callFor(1000);
    }
}

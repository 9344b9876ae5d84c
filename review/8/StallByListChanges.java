import java.util.ArrayList;
import java.util.List;

/** Six in ten of 3,200 runners are replaced within seven seconds, while a dispatcher serves calls of many functions. */
final class StallByListChanges extends FleetCase {
    private static final int FUNCTIONS = 1200;
    private static final int CALLS_PER_SECOND = 60;
    private static final int REPLACED = RUNNERS * 6 / 10;
    private static final long WITHIN_MILLIS = 7000;
    /** How many runners drain at a time; each is replaced by a new one when so many others have begun to drain. */
    private static final int DRAINING = 200;

    public static void main(String[] arguments) {
        new StallByListChanges().run(arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        onOneCore = true;
        start();
        UsualClients clients = new UsualClients(config.port, FUNCTIONS, CALLS_PER_SECOND);
        clients.callFor(30_000);
        if (TROUBLE) {
            Feed.daemon(this::replace);
        }
        clients.callFor(WITHIN_MILLIS + 3000);
        return judge(clients);
    }

    private void replace() {
        try {
            double start = Record.now();
            for (int i = 0; i < REPLACED + DRAINING; i++) {
                Runner.sleep((long) (start + WITHIN_MILLIS * (double) i / (REPLACED + DRAINING) - Record.now()));
                List<String> changes = new ArrayList<>();
                if (i < REPLACED) {
                    changes.add(entry(i, "draining", 0));
                }
                if (i >= DRAINING) {
                    fleet.restart(i - DRAINING);
                    changes.add(entry(i - DRAINING, "gone", 0));
                    changes.add(entry(RUNNERS + i - DRAINING, "ready", System.currentTimeMillis()));
                }
                feed.tell(changes);
            }
            Record.line("%d runners replaced", REPLACED);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }
}

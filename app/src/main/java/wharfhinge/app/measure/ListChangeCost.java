package wharfhinge.app.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Request;

/**
 * Measures single events of a dispatcher that knows many functions, by fleet size: a call of a function that it knows, a call of a new
 * function, a change of the endpoint list together with the call that follows it, and the expiry of one function. Simulated time; the
 * calls are cancelled at once.
 */
final class ListChangeCost extends IgnoringActions {
    /** The number of functions that a dispatcher keeps at most. */
    private static final int FUNCTIONS = 2048;

    private static final int EVENTS = 100;
    private static final int LARGEST_FLEET = 3200;
    private static final long MS = 1_000_000L;
    /** More than the time after which a function that was called once is forgotten. */
    private static final long FORGOTTEN_AFTER_NANOS = 46_000 * MS;

    /** Time between the call of the function that expires and those of the others. */
    private static final long AGE_OF_OLDEST_NANOS = 10_000 * MS;

    private static final long EXPIRY_INTERVAL_NANOS = 500 * MS;

    private final DispatcherSettings settings;
    private final int workers;
    private final Dispatcher dispatcher;
    private long now = MS;
    private int nextCall;
    private int nextWorker;
    private int nextFunction;
    private String expiryToken;

    private long totalNanos;
    private long maxNanos;

    private ListChangeCost(DispatcherSettings settings, int workers) {
        this.settings = settings;
        this.workers = workers;
        this.dispatcher = new CacheAwareDispatcher(now, 1, settings, this);
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            list.add(endpoint(nextWorker++, Availability.UP));
        }
        dispatcher.onEndpointUpdate(now, EndpointUpdateMode.FULL, 1, list);
    }

    /** Prints one row for each fleet size and kind of event, after {@code earlier} figures of the same row where there are any. */
    static void print(DispatcherSettings settings, int[] fleets, Map<String, String> earlier) {
        new ListChangeCost(settings, LARGEST_FLEET).measure(Map.of(), false); // JIT compilation
        System.out.println();
        System.out.println("| workers | event | " + (earlier.isEmpty() ? "" : "earlier mean us | earlier max us | ")
                + "mean us | max us |");
        System.out.println("| --- | --- | " + (earlier.isEmpty() ? "" : "--- | --- | ") + "--- | --- |");
        for (int workers : fleets) {
            new ListChangeCost(settings, workers).measure(earlier, true);
        }
    }

    private void measure(Map<String, String> earlier, boolean prints) {
        String oldest = newFunction();
        call(oldest);
        now += AGE_OF_OLDEST_NANOS;
        for (int i = nextFunction; i < FUNCTIONS - EVENTS; i++) {
            call(newFunction());
        }
        for (int i = 0; i < EVENTS; i++) {
            timed(() -> call(newFunction()));
        }
        report("new function", EVENTS, earlier, prints);
        for (int i = 0; i < EVENTS; i++) {
            int known = i;
            timed(() -> call(function(known + 1)));
        }
        report("known function", EVENTS, earlier, prints);
        for (int i = 0; i < EVENTS; i++) {
            int known = i;
            timed(() -> {
                changeList();
                call(function(known + 1));
            });
        }
        report("list change", EVENTS, earlier, prints);
        for (int i = 0; i < EVENTS; i++) {
            dispatcher.onTimer(now, expiryToken);
        }
        now = MS + FORGOTTEN_AFTER_NANOS;
        timed(() -> dispatcher.onTimer(now, expiryToken));
        report("expired function", 1, earlier, prints);
    }

    private static String function(int number) {
        return "f" + number;
    }

    private String newFunction() {
        return function(nextFunction++);
    }

    private void call(String function) {
        String id = "c" + nextCall++;
        long deadlineNanos = settings.classes().get(0).maxDeadlineNanos();
        now += MS / 4;
        dispatcher.onRequest(
                now,
                new Request(
                        id,
                        null,
                        deadlineNanos,
                        100,
                        function,
                        20 * MS,
                        4,
                        300,
                        settings.classes().get(0).name(),
                        false,
                        false));
        dispatcher.onClientCancelled(now, id);
    }

    /** Replaces the worker that was listed first by a new one. */
    private void changeList() {
        List<Endpoint> changes =
                List.of(endpoint(nextWorker - workers, Availability.REMOVED), endpoint(nextWorker++, Availability.UP));
        dispatcher.onEndpointUpdate(now, EndpointUpdateMode.INCREMENTAL, 1, changes);
    }

    private Endpoint endpoint(int worker, Availability availability) {
        return new Endpoint("w" + worker, settings.zone(), settings.kinds().get(0), 0, availability, 1, 0);
    }

    private void timed(Runnable event) {
        long startedAt = System.nanoTime();
        event.run();
        long nanos = System.nanoTime() - startedAt;
        totalNanos += nanos;
        maxNanos = Math.max(maxNanos, nanos);
    }

    private void report(String event, int count, Map<String, String> earlier, boolean prints) {
        String row = workers + " | " + event + " |";
        if (prints) {
            System.out.println("| " + row + earlier.getOrDefault(row, "")
                    + String.format(Locale.ROOT, " %.1f | %.1f |", totalNanos / 1000.0 / count, maxNanos / 1000.0));
        }
        totalNanos = 0;
        maxNanos = 0;
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        if (delayNanos == EXPIRY_INTERVAL_NANOS) {
            expiryToken = token;
        }
    }
}

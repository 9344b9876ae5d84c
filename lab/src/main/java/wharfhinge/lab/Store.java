package wharfhinge.lab;

import java.util.ArrayDeque;
import java.util.Deque;

/** A package store that serves a limited number of fetches at a time; further ones wait in a queue. */
final class Store {
    private final Timeline time;
    private final int maxConcurrentFetches;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int runningFetches;
    private double slowdown = 1;

    Store(Timeline time, int maxConcurrentFetches) {
        this.time = time;
        this.maxConcurrentFetches = maxConcurrentFetches;
    }

    void slowdown(double factor) {
        slowdown = factor;
    }

    void fetch(long durationNanos, Runnable onFetched) {
        queue.add(() -> time.after((long) (durationNanos * slowdown), () -> {
            runningFetches--;
            onFetched.run();
            startQueuedFetches();
        }));
        startQueuedFetches();
    }

    private void startQueuedFetches() {
        while (runningFetches < maxConcurrentFetches && !queue.isEmpty()) {
            runningFetches++;
            queue.poll().run();
        }
    }
}

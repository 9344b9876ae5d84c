package wharfhinge.engine;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Runs queued tasks and timers on a single thread, alternating between the two, with a clock that never runs backwards.
 * {@link #execute} may be called from any thread; all other methods are confined to the loop's own thread.
 */
final class EventLoop {
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private record Event(String name, long enqueuedAt, Runnable task) {}

    private final LongSupplier nanoTime;
    private final MonotonicClock clock;
    private final EngineMetrics metrics;
    private final BiConsumer<String, Throwable> onFailure;
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final TimerQueue timers = new TimerQueue();
    private long now;
    private boolean stopped;

    /**
     * Creates a loop. It starts with {@link #run}.
     *
     * @param onFailure receives the name of a task that threw, and the exception
     */
    EventLoop(LongSupplier nanoTime, EngineMetrics metrics, BiConsumer<String, Throwable> onFailure) {
        this.nanoTime = nanoTime;
        this.clock = new MonotonicClock(nanoTime);
        this.metrics = metrics;
        this.onFailure = onFailure;
    }

    /** Appends a task to the queue. Safe to call from any thread. */
    void execute(String name, Runnable task) {
        events.add(new Event(name, nanoTime.getAsLong(), task));
    }

    /**
     * The time on {@link #clock} that was read when the current task started. Timers that are run directly one after the other share
     * one reading.
     */
    long now() {
        return now;
    }

    MonotonicClock clock() {
        return clock;
    }

    /** Sets {@link #now} before the first task runs. */
    void advanceClock() {
        now = clock.now();
    }

    /** Runs a task after a delay, counted from {@link #now}, unless the timer is cancelled before. */
    TimerQueue.Timer schedule(long delayNanos, String name, Runnable task) {
        return timers.add(now + Math.max(0, delayNanos), name, task);
    }

    int timerCount() {
        return timers.size();
    }

    void cancelTimers(Predicate<String> nameFilter) {
        timers.cancelAll(nameFilter);
    }

    /** Stops the loop after the current task. */
    void stop() {
        stopped = true;
    }

    /** Runs tasks until {@link #stop} or an interrupt. */
    void run() {
        try {
            while (!stopped) {
                TimerQueue.Timer next = timers.first();
                long waitNanos = next == null ? MAX_WAIT_NANOS : Math.min(MAX_WAIT_NANOS, next.dueAt() - clock.now());
                Event event = waitNanos <= 0 ? events.poll() : events.poll(waitNanos, TimeUnit.NANOSECONDS);
                if (event != null) {
                    now = clock.now();
                    metrics.recordEventAge(now - clock.fromNanoTime(event.enqueuedAt()));
                    runGuarded(event.name(), event.task());
                }
                runDueTimers();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runDueTimers() {
        now = clock.now();
        for (TimerQueue.Timer next = timers.first();
                next != null && next.dueAt() <= now && !stopped;
                next = timers.first()) {
            metrics.recordEventAge(now - next.dueAt());
            runGuarded(next.name(), timers.takeFirst());
            if (!events.isEmpty()) {
                return; // timers and queued tasks alternate, so that neither starves the other
            }
        }
    }

    /** Runs a task, passes an exception that it throws to {@code onFailure}, and records its duration. */
    void runGuarded(String name, Runnable task) {
        long startedAt = nanoTime.getAsLong();
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            onFailure.accept(name, e);
        }
        metrics.recordDecisionTime(nanoTime.getAsLong() - startedAt);
    }
}

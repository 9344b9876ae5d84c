package wharfhinge.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * The loop's one thread: takes the events of other threads and its own timers in turns, and tells the time, which never
 * runs backwards. {@link #tell} is for any thread, all else for the loop's own.
 */
final class EventLoop {
    private static final long LONGEST_WAIT_NS = TimeUnit.SECONDS.toNanos(1);

    private record Event(String name, long stamp, Runnable what) {}

    private record Timer(long at, long number, String name, Runnable what) {}

    private final LongSupplier nanoTime;
    private final MonotonicClock clock;
    private final EngineMetrics stats;
    private final BiConsumer<String, Throwable> onFailure;
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::at).thenComparingLong(Timer::number));
    private long now;
    private long timerNumber;
    private boolean stopped;

    /**
     * A thread that begins with {@link #run}.
     *
     * @param onFailure told the name of the event or timer that threw, and what it threw
     */
    EventLoop(LongSupplier nanoTime, EngineMetrics stats, BiConsumer<String, Throwable> onFailure) {
        this.nanoTime = nanoTime;
        this.clock = new MonotonicClock(nanoTime);
        this.stats = stats;
        this.onFailure = onFailure;
    }

    /** Has something done on the loop's thread, after what was told before. */
    void tell(String name, Runnable what) {
        events.add(new Event(name, nanoTime.getAsLong(), what));
    }

    /** The time of the event at hand, on {@link #clock}. */
    long now() {
        return now;
    }

    MonotonicClock clock() {
        return clock;
    }

    /** Takes the time anew, before the first event. */
    void takeTime() {
        now = clock.now();
    }

    /** Does something so much after the event at hand. */
    void timer(long delayNanos, String name, Runnable what) {
        timers.add(new Timer(now + Math.max(0, delayNanos), timerNumber++, name, what));
    }

    void dropTimers(Predicate<String> names) {
        timers.removeIf(timer -> names.test(timer.name()));
    }

    /** No further event is begun. */
    void stop() {
        stopped = true;
    }

    /** Runs until it is stopped or interrupted. */
    void run() {
        try {
            while (!stopped) {
                long wait = timers.isEmpty()
                        ? LONGEST_WAIT_NS
                        : Math.min(LONGEST_WAIT_NS, timers.peek().at() - clock.now());
                Event event = wait <= 0 ? events.poll() : events.poll(wait, TimeUnit.NANOSECONDS);
                if (event != null) {
                    now = clock.now();
                    stats.age(now - clock.at(event.stamp()));
                    guarded(event.name(), event.what());
                }
                fireTimers();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void fireTimers() {
        now = clock.now();
        for (Timer next = timers.peek(); next != null && next.at() <= now && !stopped; next = timers.peek()) {
            timers.poll();
            stats.age(now - next.at());
            guarded(next.name(), next.what());
            if (!events.isEmpty()) {
                return; // timers and events take turns, so that neither starves the other
            }
        }
    }

    /** Does it, and hands on what it throws; counts how long it took. */
    void guarded(String name, Runnable what) {
        long began = nanoTime.getAsLong();
        try {
            what.run();
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            onFailure.accept(name, e);
        }
        stats.decision(nanoTime.getAsLong() - began);
    }
}

package wharfhinge.worker;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Reports when the operating system did not run a thread for a while: the thread's heartbeat is late although it used little
 * processor time in between. Requests that arrive in such a span are read, and logged, only after it. A thread that is late
 * because of its own work is not reported. Each {@link #run} is a heartbeat and must run on the watched thread.
 */
public final class ProcessorWaitWatch implements Runnable {
    /** Interval between two heartbeats. */
    public static final long HEARTBEAT_MILLIS = 20;

    private static final long REPORTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** A span is reported if the thread ran for less than this fraction of it. */
    private static final int MAX_RUNNING_DIVISOR = 4;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final LongConsumer onNotRun;
    private boolean isStarted;
    private long lastNanos;
    private long lastProcessorNanos;

    /**
     * Creates a watch that starts with its first heartbeat.
     *
     * @param onNotRun receives the length of each span in milliseconds, at its end, on the watched thread
     */
    public ProcessorWaitWatch(LongConsumer onNotRun) {
        this.onNotRun = onNotRun;
    }

    /** Watches an event loop until it ends. May be called on any thread. */
    public static void start(EventLoop loop, LongConsumer onNotRun) {
        loop.scheduleWithFixedDelay(
                new ProcessorWaitWatch(onNotRun), HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void run() {
        long now = System.nanoTime();
        long processorNanos = threads.getCurrentThreadCpuTime();
        long elapsedNanos = now - lastNanos;
        boolean isOwnWork = processorNanos - lastProcessorNanos > elapsedNanos / MAX_RUNNING_DIVISOR;
        if (isStarted && elapsedNanos > REPORTED_NANOS && !isOwnWork) {
            onNotRun.accept(TimeUnit.NANOSECONDS.toMillis(elapsedNanos));
        }
        isStarted = true;
        lastNanos = now;
        lastProcessorNanos = processorNanos;
    }
}

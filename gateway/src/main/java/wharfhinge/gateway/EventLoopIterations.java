package wharfhinge.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Waits for iterations of event loops. Each iteration polls for input, so that what had arrived before has been accepted or read afterwards.
 * Iterations are counted in place of time, since a cold, throttled or stopped process may take any time for one.
 */
final class EventLoopIterations {
    private EventLoopIterations() {}

    /**
     * Waits until each event loop of the group has run this many iterations.
     *
     * @return false if this took longer than the timeout
     */
    static boolean await(EventLoopGroup group, int iterations, long timeoutMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        List<Promise<Void>> promises = new ArrayList<>();
        for (EventExecutor loop : group) {
            Promise<Void> done = loop.newPromise();
            loop.execute(() -> awaitRemaining(loop, iterations, done));
            promises.add(done);
        }
        boolean areAllDone = true;
        for (Promise<Void> done : promises) {
            long remainingNanos = Math.max(0, deadlineNanos - System.nanoTime());
            areAllDone &= done.awaitUninterruptibly(remainingNanos, TimeUnit.NANOSECONDS);
        }
        return areAllDone;
    }

    /** A scheduled task runs in a later iteration than the one that schedules it, after that iteration has polled for input. */
    private static void awaitRemaining(EventExecutor loop, int remaining, Promise<Void> done) {
        if (remaining == 0) {
            done.trySuccess(null);
        } else {
            loop.schedule(() -> awaitRemaining(loop, remaining - 1, done), 0, TimeUnit.NANOSECONDS);
        }
    }
}

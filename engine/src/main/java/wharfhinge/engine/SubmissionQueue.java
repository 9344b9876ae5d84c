package wharfhinge.engine;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.engine.DispatchEngine.SubmissionResult;
import wharfhinge.engine.DispatchEngine.SubmissionStatus;
import wharfhinge.engine.EngineMetrics.Counter;

/**
 * Hands calls of the I/O threads to the loop's thread, or turns them away before they count as taken: after the loop
 * began to close, by a tenant's limits, or where too many are open or wait for the loop. Any thread.
 */
final class SubmissionQueue {
    private final EngineSettings settings;
    private final AdmissionGate door;
    private final EngineMetrics stats;
    private final LongSupplier nanoTime;
    private final EventLoop thread;
    private final AtomicInteger waiting = new AtomicInteger(); // for the loop to come round to them
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean closing;

    SubmissionQueue(EngineSettings settings, EngineMetrics stats, LongSupplier nanoTime, EventLoop thread) {
        this.settings = settings;
        this.door = new AdmissionGate(settings.admission());
        this.stats = stats;
        this.nanoTime = nanoTime;
        this.thread = thread;
    }

    /** Has {@code begin} run on the loop's thread for something that counts as one open call; or says why not. */
    SubmissionResult offer(String name, String tenant, Runnable begin) {
        if (closing) {
            stats.add(Counter.REJECTED_SHUTTING_DOWN);
            return new SubmissionResult(SubmissionStatus.SHUTTING_DOWN, 0);
        }
        AdmissionController.Verdict verdict = door.arrives(nanoTime.getAsLong(), tenant);
        if (verdict.decision() != AdmissionController.Decision.ADMITTED) {
            return new SubmissionResult(SubmissionStatus.of(verdict.decision()), verdict.retryAfterNanos());
        }
        SubmissionStatus taken = take(name, begin);
        if (taken != SubmissionStatus.ACCEPTED) {
            leftDoor(tenant, AdmissionController.CallEnd.OTHERWISE, 0, 0);
        }
        return new SubmissionResult(taken, 0);
    }

    private SubmissionStatus take(String name, Runnable begin) {
        if (open.incrementAndGet() > settings.maxPendingCalls()) {
            open.decrementAndGet();
            stats.add(Counter.REJECTED_TOO_MANY_PENDING);
            return SubmissionStatus.TOO_MANY_PENDING;
        }
        if (waiting.incrementAndGet() > settings.submissionQueueCapacity()) {
            waiting.decrementAndGet();
            open.decrementAndGet();
            stats.add(Counter.REJECTED_QUEUE_FULL);
            return SubmissionStatus.QUEUE_FULL;
        }
        thread.tell(name, () -> {
            waiting.decrementAndGet();
            begin.run();
        });
        return SubmissionStatus.ACCEPTED;
    }

    /** A call was begun by the loop itself. */
    void begun() {
        open.incrementAndGet();
    }

    /** One that was taken or begun has ended. */
    void ended() {
        open.decrementAndGet();
    }

    /** One that came through the door has ended. */
    void leftDoor(String tenant, AdmissionController.CallEnd how, long tookNanos, long aimNanos) {
        door.ended(nanoTime.getAsLong(), tenant, how, tookNanos, aimNanos);
    }

    /** Taken and not yet ended. */
    int open() {
        return open.get();
    }

    /** Takes no more. */
    void close() {
        closing = true;
    }

    boolean closing() {
        return closing;
    }

    Map<String, Long> doorFigures() {
        return door.figures();
    }
}

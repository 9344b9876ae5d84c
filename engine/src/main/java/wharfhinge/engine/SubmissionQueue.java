package wharfhinge.engine;

import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.engine.DispatchEngine.SubmissionResult;
import wharfhinge.engine.DispatchEngine.SubmissionStatus;
import wharfhinge.engine.EngineMetrics.Counter;

/**
 * The bounded queue from the I/O threads to the engine's thread. A call is rejected before it is accepted when the engine is
 * shutting down, a tenant's quota is used up, too many calls are pending or the queue is full. Safe for use by any thread.
 */
final class SubmissionQueue {
    private final EngineSettings settings;
    private final AdmissionGate admissionGate;
    private final EngineMetrics metrics;
    private final LongSupplier nanoTime;
    private final EventLoop eventLoop;
    private final AtomicInteger queued = new AtomicInteger(); // submitted and not yet started by the event loop
    private final AtomicInteger pending = new AtomicInteger();
    private volatile boolean closed;

    SubmissionQueue(EngineSettings settings, EngineMetrics metrics, LongSupplier nanoTime, EventLoop eventLoop) {
        this.settings = settings;
        this.admissionGate = new AdmissionGate(settings.admission());
        this.metrics = metrics;
        this.nanoTime = nanoTime;
        this.eventLoop = eventLoop;
    }

    /** Queues {@code start} for the event loop as one pending call, or returns the reason why it is rejected. */
    SubmissionResult submit(String name, String tenant, Runnable start) {
        if (closed) {
            metrics.increment(Counter.REJECTED_SHUTTING_DOWN);
            return new SubmissionResult(SubmissionStatus.SHUTTING_DOWN, 0);
        }
        AdmissionController.Verdict verdict = admissionGate.tryAdmit(nanoTime.getAsLong(), tenant);
        if (verdict.decision() != AdmissionController.Decision.ADMITTED) {
            return new SubmissionResult(SubmissionStatus.of(verdict.decision()), verdict.retryAfterNanos());
        }
        SubmissionStatus status = enqueue(name, start);
        if (status != SubmissionStatus.ACCEPTED) {
            release(tenant, AdmissionController.CallEnd.OTHER, 0, 0);
        }
        return new SubmissionResult(status, 0);
    }

    private SubmissionStatus enqueue(String name, Runnable start) {
        if (pending.incrementAndGet() > settings.maxPendingCalls()) {
            pending.decrementAndGet();
            metrics.increment(Counter.REJECTED_TOO_MANY_PENDING);
            return SubmissionStatus.TOO_MANY_PENDING;
        }
        if (queued.incrementAndGet() > settings.submissionQueueCapacity()) {
            queued.decrementAndGet();
            pending.decrementAndGet();
            metrics.increment(Counter.REJECTED_QUEUE_FULL);
            return SubmissionStatus.QUEUE_FULL;
        }
        eventLoop.execute(name, () -> {
            queued.decrementAndGet();
            start.run();
        });
        return SubmissionStatus.ACCEPTED;
    }

    /** Counts a call that the engine itself started for a step of a chain. */
    void onStarted() {
        pending.incrementAndGet();
    }

    /** Counts an accepted or started call as answered. */
    void onCompleted() {
        pending.decrementAndGet();
    }

    /** Reports the end of an admitted call to the admission gate. */
    void release(String tenant, AdmissionController.CallEnd callEnd, long tookNanos, long latencyObjectiveNanos) {
        admissionGate.onCallEnded(nanoTime.getAsLong(), tenant, callEnd, tookNanos, latencyObjectiveNanos);
    }

    /** The number of calls accepted or started and not yet answered. */
    int pending() {
        return pending.get();
    }

    /** Rejects every later submission. */
    void close() {
        closed = true;
    }

    boolean closed() {
        return closed;
    }

    Map<String, Long> admissionMetrics() {
        return admissionGate.metrics();
    }
}

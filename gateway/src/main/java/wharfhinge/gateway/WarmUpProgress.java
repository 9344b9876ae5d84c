package wharfhinge.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Decides when a warm-up has done enough: once several thousands of calls in a row bring no faster thousand, its time is
 * over, or the gateway is stopped. Shared by all clients.
 */
final class WarmUpProgress {
    private static final int CHUNK_CALLS = 1000;
    private static final int MAX_CHUNKS_WITHOUT_GAIN = 10;
    private static final double GAIN_RATIO = 0.95; // of the fastest chunk's time: counts as faster

    private final long deadline;
    private final BooleanSupplier stopped;
    private final AtomicLong calls = new AtomicLong();
    private long chunkStartedAt; // this and what follows is guarded by this
    private long fastestChunkNanos = Long.MAX_VALUE;
    private int chunksWithoutGain;

    WarmUpProgress(long deadline, BooleanSupplier stopped) {
        this.deadline = deadline;
        this.stopped = stopped;
    }

    synchronized void start() {
        chunkStartedAt = System.nanoTime();
    }

    /** Counts a call and gives its number. */
    long nextCall() {
        return calls.getAndIncrement();
    }

    long calls() {
        return calls.get();
    }

    /** Whether the call of that number should still be sent. */
    synchronized boolean shouldContinue(long callNumber) {
        long now = System.nanoTime();
        if (callNumber % CHUNK_CALLS == CHUNK_CALLS - 1) {
            long chunkNanos = now - chunkStartedAt;
            chunksWithoutGain = chunkNanos < GAIN_RATIO * fastestChunkNanos ? 0 : chunksWithoutGain + 1;
            fastestChunkNanos = Math.min(fastestChunkNanos, chunkNanos);
            chunkStartedAt = now;
        }
        return chunksWithoutGain < MAX_CHUNKS_WITHOUT_GAIN && now < deadline && !stopped.getAsBoolean();
    }

    /** The time between two answers in the fastest chunk; 0 where none was complete. */
    synchronized long fastestCallMicros() {
        return fastestChunkNanos == Long.MAX_VALUE ? 0 : TimeUnit.NANOSECONDS.toMicros(fastestChunkNanos / CHUNK_CALLS);
    }
}

package wharfhinge.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Decides when a warm-up ends: when calls get no faster over several chunks of a thousand calls, when the time limit is reached, or when
 * the gateway is stopped. Shared by all clients.
 */
final class WarmUpProgress {
    private static final int CHUNK_CALLS = 1000;
    private static final int MAX_CHUNKS_WITHOUT_GAIN = 10;
    /** A chunk counts as faster if its duration is below this share of the fastest chunk's duration. */
    private static final double GAIN_RATIO = 0.95;

    private final long deadline;
    private final BooleanSupplier stopped;
    private final AtomicLong calls = new AtomicLong();
    private long chunkStartedAt; // guarded by this, as are the next two
    private long fastestChunkNanos = Long.MAX_VALUE;
    private int chunksWithoutGain;

    WarmUpProgress(long deadline, BooleanSupplier stopped) {
        this.deadline = deadline;
        this.stopped = stopped;
    }

    synchronized void start() {
        chunkStartedAt = System.nanoTime();
    }

    /** Counts a call and returns its number, starting at 0. */
    long nextCall() {
        return calls.getAndIncrement();
    }

    long calls() {
        return calls.get();
    }

    /** Returns whether the call with this number should still be sent. */
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

    /** Returns the mean time per call in the fastest chunk; 0 if no chunk is complete. */
    synchronized long fastestCallMicros() {
        return fastestChunkNanos == Long.MAX_VALUE ? 0 : TimeUnit.NANOSECONDS.toMicros(fastestChunkNanos / CHUNK_CALLS);
    }
}

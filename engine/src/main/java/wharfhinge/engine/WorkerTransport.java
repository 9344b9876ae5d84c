package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.RosterEntry;

/** The sockets towards the workers, as the loop uses them. No method blocks; listeners are called by I/O threads. */
public interface WorkerTransport extends AutoCloseable {

    /**
     * What a worker needs to know of a function.
     *
     * @param loadMillis the usual time of a load; 0 where untold, as are the others
     */
    record FunctionInfo(String name, double memoryMb, int concurrencyPerCopy, double loadMillis) {}

    /**
     * One attempt to be sent; {@code body} is not released by the receiver, which takes a reference of its own.
     *
     * @param deadlineAt   {@link System#nanoTime} at which the gateway stops waiting; what is left of it is told to the worker as the
     *                   attempt is written, not as it is ordered
     * @param idempotencyKey the client's, passed on unchanged; null where there is none
     * @param clientCancelled whether the client was seen to have left, by now; asked on I/O threads before a byte is written
     */
    record AttemptRequest(
            String worker,
            String callId,
            int attempt,
            FunctionInfo function,
            String requestClass,
            String tenant,
            long deadlineAt,
            long costUs,
            ByteBuf body,
            CharSequence contentType,
            boolean streaming,
            String idempotencyKey,
            BooleanSupplier clientCancelled) {}

    /**
     * How an exchange with a worker ended.
     *
     * @param reason   the same in the words of the wire, for logs
     * @param loadedCopies copies that stand, for orders
     * @param body  the receiver releases it; may be null
     */
    record ExchangeResult(
            Outcome outcome,
            CacheStatus cacheStatus,
            int concurrentOnWorker,
            Map<String, Double> report,
            int loadedCopies,
            long tookNanos,
            ByteBuf body,
            CharSequence contentType,
            String reason) {}

    /** An attempt under way. */
    interface AttemptHandle {
        /** Stops it: what is not on the wire never goes there, what is gets a stream reset. No result follows. */
        void cancel();

        /**
         * Takes it back if none of it was written yet: it ends as {@link Outcome#CANCELLED}, told as any end. What is on the wire goes on.
         */
        void cancelIfUnsent();

        /** Of an attempt that was never begun. */
        AttemptHandle NONE = new AttemptHandle() {
            @Override
            public void cancel() {}

            @Override
            public void cancelIfUnsent() {}
        };
    }

    /** Told how an attempt goes, on an I/O thread. */
    interface AttemptListener {
        /** It ended; told once, not after a cancel. */
        void onCompleted(ExchangeResult result);

        /** A streamed answer began; nothing flows until the stream is told where to. */
        void onStreamStarted(ResponseStream stream);
    }

    /** A streamed answer, which belongs to one client. */
    interface ResponseStream {
        /** Sends all that comes to {@code sink}, from any thread. */
        void subscribe(StreamConsumer sink);

        /** Gives it up. */
        void cancel();

        /** The worker's content type, or null. */
        CharSequence contentType();
    }

    /** Takes a streamed answer; called on one I/O thread. */
    interface StreamConsumer {
        /** A part; the sink releases it and runs {@code taken} once it is on its way, which lets more come. */
        void onData(ByteBuf part, Runnable taken);

        /** The whole came, or the worker broke off. */
        void onEnd(boolean whole);
    }

    /** Sends an attempt. */
    AttemptHandle sendAttempt(AttemptRequest order, AttemptListener listener);

    /** Probes a worker. */
    void probe(String worker, Consumer<ExchangeResult> ended);

    /** Orders copies to be held, 0 only asks. */
    void ensureLoaded(String worker, FunctionInfo function, int count, long waitNanos, Consumer<ExchangeResult> ended);

    /** Has idle copies unloaded; no answer is told. */
    void unload(String worker, String function);

    /** Closes connections that carry nothing. */
    void closeIdleConnections(String worker);

    /** Nothing new may go to a worker: what has not reached the wire ends as a failed connect. */
    void stopSending(String worker);

    /**
     * A worker may be sent to (again).
     *
     * @param boot the process that requests are meant for from now on; {@link RosterEntry#NO_BOOT} where none is told
     */
    void startSending(String worker, String boot);

    @Override
    void close();
}

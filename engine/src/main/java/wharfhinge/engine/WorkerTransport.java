package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.RosterEntry;

/** Sends attempts, probes and load orders to workers. No method blocks; listeners are called on I/O threads. */
public interface WorkerTransport extends AutoCloseable {

    /**
     * The properties of a function that a worker receives; each number is 0 if unknown.
     *
     * @param loadMillis the usual duration of a load
     */
    record FunctionInfo(String name, double memoryMb, int concurrencyPerCopy, double loadMillis) {}

    /**
     * The condition under which a message may be written to a worker.
     *
     * @param isLimited       whether {@code notAfterNanos} applies
     * @param notAfterNanos   {@link System#nanoTime} from which on the first byte must not be written; the result is then
     *                        {@link Outcome#LEASE_EXPIRED}
     * @param onNewConnection whether the message must use a connection that is opened for it
     */
    record WriteCondition(boolean isLimited, long notAfterNanos, boolean onNewConnection) {
        /** No restriction: at any time, over any connection. */
        public static final WriteCondition NONE = new WriteCondition(false, 0, false);

        /** Whether the first byte may be written at this {@link System#nanoTime}. */
        public boolean allowsWriteAt(long nanos) {
            return !isLimited || nanos - notAfterNanos < 0;
        }
    }

    /**
     * One attempt to be sent. The transport retains {@code body} as long as it needs it.
     *
     * @param deadlineAt      {@link System#nanoTime} at which the engine stops waiting. The worker is sent the time that remains when
     *                        the attempt is written, not when it is requested
     * @param idempotencyKey  the client's key, passed on unchanged; null if there is none
     * @param clientCancelled whether the client has cancelled or disconnected, also if that was not read so far; asked on I/O threads when
     *                        the transport receives the attempt and before a byte of it is written
     * @param condition       the condition under which the attempt may be written
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
            BooleanSupplier clientCancelled,
            WriteCondition condition) {}

    /**
     * The result of an attempt, probe or load order.
     *
     * @param report       the worker's load report by field name; empty if there is none
     * @param loadedCopies the number of copies that the worker has loaded; valid only for load orders and residency queries
     * @param body         released by the receiver; may be null
     * @param reason       the outcome as named in the worker protocol, or a text that says why there is no response
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

    /** Controls an attempt in flight. */
    interface AttemptHandle {
        /** Cancels the attempt. If it is unwritten, it is never written; otherwise the worker may be ordered to stop. No result follows. */
        void cancel();

        /**
         * Cancels the attempt if it was not written to a connection yet; the result is then {@link Outcome#CANCELLED}. Otherwise it
         * continues.
         */
        void cancelIfUnsent();

        /** The handle of an attempt that was never sent. */
        AttemptHandle NONE = new AttemptHandle() {
            @Override
            public void cancel() {}

            @Override
            public void cancelIfUnsent() {}
        };
    }

    /** Observes an attempt, on an I/O thread. */
    interface AttemptListener {
        /** The attempt ended. Called at most once, and not after a cancel. */
        void onCompleted(ExchangeResult result);

        /** A streamed answer started. No part is delivered before {@link ResponseStream#subscribe}. */
        void onStreamStarted(ResponseStream stream);
    }

    /** A streamed answer on its way to one client. */
    interface ResponseStream {
        /** Delivers all parts to a consumer. May be called from any thread. */
        void subscribe(StreamConsumer consumer);

        /** Cancels the stream at the worker. */
        void cancel();

        /** The worker's content type, or null. */
        CharSequence contentType();
    }

    /** Consumes a streamed answer; called on one I/O thread. */
    interface StreamConsumer {
        /**
         * Receives a part, which the consumer releases. The consumer runs {@code onWritten} once the part is written, which allows
         * the next part to be delivered.
         */
        void onData(ByteBuf part, Runnable onWritten);

        /** The stream ended; {@code complete} is false if the worker aborted it. */
        void onEnd(boolean complete);
    }

    /** Sends an attempt. */
    AttemptHandle sendAttempt(AttemptRequest request, AttemptListener listener);

    /** Probes a worker. */
    void probe(String worker, Consumer<ExchangeResult> onCompleted);

    /** Orders a worker to keep {@code count} copies of a function loaded; 0 only queries how many are loaded. */
    void ensureLoaded(
            String worker,
            FunctionInfo function,
            int count,
            long timeoutNanos,
            WriteCondition condition,
            Consumer<ExchangeResult> onCompleted);

    /**
     * Sets the listener that is called, on an I/O thread, when the last open connection to a worker was closed. A transport that does
     * not support this ignores the listener.
     */
    default void setDisconnectListener(Consumer<String> listener) {}

    /** Orders a worker to unload idle copies of a function; no result follows. */
    void unload(String worker, String function);

    /** Closes idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Stops sending to a worker; messages that are not yet written end as a failed connect. */
    void stopSending(String worker);

    /**
     * Allows sending to a worker, for the first time or again.
     *
     * @param incarnation the worker process that requests are meant for; {@link RosterEntry#NO_BOOT} if unknown
     */
    void startSending(String worker, String incarnation);

    @Override
    void close();
}

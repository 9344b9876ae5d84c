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
     * What a worker gets to know of a function.
     *
     * @param loadMillis the usual time of a load; 0 where unknown, as are the others
     */
    record FunctionInfo(String name, double memoryMb, int concurrencyPerCopy, double loadMillis) {}

    /**
     * Under which condition a message may be written.
     *
     * @param isLimited       whether {@code notAfterNanos} applies
     * @param notAfterNanos   {@link System#nanoTime} from which on the first byte may not be written any more; the result is then
     *                        {@link Outcome#LEASE_EXPIRED}
     * @param onNewConnection whether it has to go over a connection that is opened for it
     */
    record WriteCondition(boolean isLimited, long notAfterNanos, boolean onNewConnection) {
        /** At any time, over any connection. */
        public static final WriteCondition NONE = new WriteCondition(false, 0, false);

        /** Whether the first byte may be written at this {@link System#nanoTime}. */
        public boolean allowsWriteAt(long nanos) {
            return !isLimited || nanos - notAfterNanos < 0;
        }
    }

    /**
     * One attempt to be sent. The transport retains {@code body} as long as it needs it.
     *
     * @param deadlineAt   {@link System#nanoTime} at which the engine stops waiting. The worker gets what is left of it when the
     *                   attempt is written, not when it is requested
     * @param idempotencyKey the client's, passed on unchanged; null where there is none
     * @param clientCancelled whether the client has cancelled or disconnected; read on I/O threads before a byte is written
     * @param condition  under which it may be written
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
     * @param reason   the outcome in the words of the workers' protocol
     * @param loadedCopies loaded copies, for load orders
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

    /** Controls an attempt in flight. */
    interface AttemptHandle {
        /** Cancels it: what was not written never is, what was gets a stream reset. No result follows. */
        void cancel();

        /**
         * Cancels it if none of it was written yet; the result is then {@link Outcome#CANCELLED}. What was written goes on.
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

        /** A streamed answer started; no part is delivered until somebody subscribes. */
        void onStreamStarted(ResponseStream stream);
    }

    /** A streamed answer on its way to one client. */
    interface ResponseStream {
        /** Delivers all parts to a consumer. Any thread. */
        void subscribe(StreamConsumer sink);

        /** Cancels the stream at the worker. */
        void cancel();

        /** The worker's content type, or null. */
        CharSequence contentType();
    }

    /** Consumes a streamed answer; called on one I/O thread. */
    interface StreamConsumer {
        /** A part, which the consumer releases. It runs {@code taken} once the part is written, which lets the next one come. */
        void onData(ByteBuf part, Runnable taken);

        /** The stream ended; {@code complete} is false where the worker broke off. */
        void onEnd(boolean whole);
    }

    /** Sends an attempt. */
    AttemptHandle sendAttempt(AttemptRequest order, AttemptListener listener);

    /** Probes a worker. */
    void probe(String worker, Consumer<ExchangeResult> ended);

    /** Orders a worker to keep {@code count} copies loaded; 0 only queries how many are. */
    void ensureLoaded(
            String worker,
            FunctionInfo function,
            int count,
            long waitNanos,
            WriteCondition condition,
            Consumer<ExchangeResult> ended);

    /** Names the listener to be told, on an I/O thread, of a worker whose last open connection was closed; not all transports do. */
    default void setDisconnectListener(Consumer<String> listener) {}

    /** Orders a worker to unload idle copies; no result follows. */
    void unload(String worker, String function);

    /** Closes idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Sends nothing new to a worker; what was not yet written ends as a failed connect. */
    void stopSending(String worker);

    /**
     * A worker may be sent to, from now on or again.
     *
     * @param boot the process that requests are meant for; {@link RosterEntry#NO_BOOT} where unknown
     */
    void startSending(String worker, String boot);

    @Override
    void close();
}

package wharfhinge.gateway.loop;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.RosterEntry;

/** The sockets towards the workers, as the loop uses them. No method blocks; listeners are called by I/O threads. */
public interface WorkerSide extends AutoCloseable {

    /**
     * What a worker needs to know of a function.
     *
     * @param loadMillis the usual time of a load; 0 where untold, as are the others
     */
    record Function(String name, double memoryMb, int lanes, double loadMillis) {}

    /**
     * One attempt to be sent; {@code body} is not released by the receiver, which takes a reference of its own.
     *
     * @param giveUpAt   {@link System#nanoTime} at which the gateway stops waiting; what is left of it is told to the worker as the
     *                   attempt is written, not as it is ordered
     * @param idempotencyKey the client's, passed on unchanged; null where there is none
     * @param clientGone whether the client was seen to have left, by now; asked on I/O threads before a byte is written
     */
    record Order(
            String worker,
            String call,
            int attempt,
            Function function,
            String requestClass,
            String tenant,
            long giveUpAt,
            long costUs,
            ByteBuf body,
            CharSequence contentType,
            boolean stream,
            String idempotencyKey,
            BooleanSupplier clientGone) {}

    /**
     * How an exchange with a worker ended.
     *
     * @param how   the same in the words of the wire, for logs
     * @param count copies that stand, for orders
     * @param body  the receiver releases it; may be null
     */
    record Result(
            Outcome outcome,
            CacheStatus note,
            int company,
            Map<String, Double> report,
            int count,
            long tookNanos,
            ByteBuf body,
            CharSequence contentType,
            String how) {}

    /** An attempt under way. */
    interface Sent {
        /** Stops it: what is not on the wire never goes there, what is gets a stream reset. No result follows. */
        void cancel();

        /**
         * Takes it back if none of it was written yet: it ends as {@link Outcome#CANCELLED}, told as any end. What is on the wire goes on.
         */
        void withdraw();

        /** Of an attempt that was never begun. */
        Sent NONE = new Sent() {
            @Override
            public void cancel() {}

            @Override
            public void withdraw() {}
        };
    }

    /** Told how an attempt goes, on an I/O thread. */
    interface AttemptListener {
        /** It ended; told once, not after a cancel. */
        void ended(Result result);

        /** A streamed answer began; nothing flows until the stream is told where to. */
        void began(Stream stream);
    }

    /** A streamed answer, which belongs to one client. */
    interface Stream {
        /** Sends all that comes to {@code sink}, from any thread. */
        void flowTo(Sink sink);

        /** Gives it up. */
        void cancel();

        /** The worker's content type, or null. */
        CharSequence contentType();
    }

    /** Takes a streamed answer; called on one I/O thread. */
    interface Sink {
        /** A part; the sink releases it and runs {@code taken} once it is on its way, which lets more come. */
        void data(ByteBuf part, Runnable taken);

        /** The whole came, or the worker broke off. */
        void end(boolean whole);
    }

    /** Sends an attempt. */
    Sent attempt(Order order, AttemptListener listener);

    /** Probes a worker. */
    void probe(String worker, Consumer<Result> ended);

    /** Orders copies to be held, 0 only asks. */
    void hold(String worker, Function function, int count, long waitNanos, Consumer<Result> ended);

    /** Has idle copies unloaded; no answer is told. */
    void unload(String worker, String function);

    /** Closes connections that carry nothing. */
    void hangUp(String worker);

    /** Nothing new may go to a worker: what has not reached the wire ends as a failed connect. */
    void leaving(String worker);

    /**
     * A worker may be sent to (again).
     *
     * @param boot the process that requests are meant for from now on; {@link RosterEntry#NO_BOOT} where none is told
     */
    void listed(String worker, String boot);

    @Override
    void close();
}

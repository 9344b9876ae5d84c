package wharfhinge.client;

import wharfhinge.client.core.AttemptResult;

/** Sends attempts to gateways. Makes no decisions, does not retry, and has no timeout except the connect timeout. */
public interface Transport extends AutoCloseable {

    /**
     * The outcome of an attempt.
     *
     * @param body            the answer, empty if there is none
     * @param retryAfterNanos the gateway's Retry-After, or 0 without one
     * @param reason          a description for logs, or null
     */
    record Reply(
            AttemptResult result, byte[] body, String contentType, String worker, long retryAfterNanos, String reason) {
        /** Creates a reply without an answer. */
        public static Reply withoutBody(AttemptResult result, String reason) {
            return new Reply(result, new byte[0], null, null, 0, reason);
        }
    }

    /** Observes an attempt, on any thread; not called after the attempt was abandoned. */
    interface Listener {
        /** Called once, when the attempt ends; for a streamed answer after its last part, with an empty body. */
        void onEnded(Reply reply);

        /** Called once for a streaming call, when its answer starts, before the first part. */
        default void onStreamStarted(String worker, String contentType) {}

        /** Called for each part, in order; the next one is read from the network only after {@code more} was run, on any thread. */
        default void onPart(byte[] bytes, Runnable more) {
            more.run();
        }
    }

    /** An attempt in flight. */
    interface AttemptHandle {
        /** Abandons the attempt and signals the cancellation to the gateway. */
        void abandon();
    }

    /** Sends an attempt to a gateway ({@code host:port}); {@code repeat} is true for a retry or hedge. Never blocks. */
    AttemptHandle send(String gateway, Call call, long remainingNanos, boolean repeat, Listener listener);

    @Override
    void close();
}

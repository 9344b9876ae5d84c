package wharfhinge.client;

import wharfhinge.client.core.AttemptResult;

/** Carries attempts to gateways: decides nothing, retries nothing and has no timeout of its own but the connect timeout. */
public interface Transport extends AutoCloseable {

    /**
     * The outcome of an attempt.
     *
     * @param retryAfterNanos when to come back, 0 where nobody said
     * @param reason   for people; the body's place where there is none
     */
    record Reply(
            AttemptResult result, byte[] body, String contentType, String worker, long retryAfterNanos, String reason) {
        /** A reply without an answer. */
        public static Reply withoutBody(AttemptResult end, String reason) {
            return new Reply(end, new byte[0], null, null, 0, reason);
        }
    }

    /** Observes an attempt, on any thread; not called after it was abandoned. */
    interface Listener {
        /** The attempt ended, once; for a streamed answer after its last part, with an empty body. */
        void onEnded(Reply reply);

        /** A streamed answer started. Only for streaming calls, once, before the first part. */
        default void onStreamStarted(String worker, String contentType) {}

        /** A part, in order; the next one is read from the network only once {@code more} was run, on any thread. */
        default void onPart(byte[] bytes, Runnable more) {
            more.run();
        }
    }

    /** An attempt in flight. */
    interface AttemptHandle {
        /** Abandons it: the gateway learns that the client has cancelled. */
        void abandon();
    }

    /** Sends an attempt to a gateway, {@code host:port}. Never blocks. */
    AttemptHandle send(String gateway, Call call, long remainingNanos, boolean repeat, Listener listener);

    @Override
    void close();
}

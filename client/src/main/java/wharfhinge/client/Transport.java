package wharfhinge.client;

import wharfhinge.client.core.TryEnd;

/** Carries tries to gateways, and nothing else: it decides nothing, repeats nothing and has no time-outs of its own but to connect. */
public interface Transport extends AutoCloseable {

    /**
     * How a try ended.
     *
     * @param adviceNanos when to come back, 0 where nobody said
     * @param reason   for people; the body's place where there is none
     */
    record Reply(TryEnd end, byte[] body, String contentType, String worker, long adviceNanos, String reason) {
        /** One without an answer. */
        public static Reply without(TryEnd end, String reason) {
            return new Reply(end, new byte[0], null, null, 0, reason);
        }
    }

    /** Told once how a try ended, on any thread; not after it was abandoned. */
    interface Listener {
        /** It ended; of an answer in parts, after its last part, with an empty body. */
        void ended(Reply reply);

        /** An answer in parts began. Only for calls that stream, once, before all parts. */
        default void began(String worker, String contentType) {}

        /** A part, in order; the next one is read from the network only once {@code more} was run, on any thread. */
        default void part(byte[] bytes, Runnable more) {
            more.run();
        }
    }

    /** A try under way. */
    interface Try {
        /** Nobody waits any more: the gateway is told that the client left. */
        void abandon();
    }

    /** Sends a try to a gateway, {@code host:port}. Never blocks. */
    Try send(String gateway, Call call, long remainingNanos, boolean repeat, Listener listener);

    @Override
    void close();
}

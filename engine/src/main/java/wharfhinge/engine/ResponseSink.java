package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import wharfhinge.protocol.FinalAnswer;

/** Receives the one final answer of a call, on the engine's thread. No method blocks. */
public interface ResponseSink {

    /**
     * The metadata of an answer.
     *
     * @param worker           the worker that answered, or null
     * @param attemptSummaries worker and result of each attempt, or the reason why there was none
     * @param attempts         the number of attempts
     * @param loaded           whether the worker had to load the function first
     */
    record ResponseMetadata(String worker, List<String> attemptSummaries, int attempts, boolean loaded) {}

    /** Sends a worker's answer. Takes ownership of {@code body}, which may be null. */
    void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata metadata);

    /** Reports that the call was rejected ({@link FinalAnswer#REFUSED}) or failed ({@link FinalAnswer#FAILED}). */
    void sendError(FinalAnswer answer, long retryAfterNanos, ResponseMetadata metadata);

    /** Starts a streamed answer. {@code stream} delivers its parts directly, bypassing the engine. */
    void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata metadata);

    /**
     * Reads what the client has sent and has not been read yet, so that a cancellation or a disconnect in it is reported to the engine before
     * this returns. Unlike the other methods it is called on I/O threads, before an attempt is written; on any thread but the client's
     * own it does nothing, as by default.
     */
    default void readClientInput() {}
}

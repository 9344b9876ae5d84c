package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import wharfhinge.protocol.FinalAnswer;

/** Where a call's final answer goes; called by the loop's thread once for each call, never blocks. */
public interface ResponseSink {

    /**
     * What a client is told beside the answer itself.
     *
     * @param worker   the one that served, or null
     * @param attemptSummaries    what became of each attempt, or why there was none
     * @param attempts how many there were
     * @param loaded   whether the one that served loaded, or waited for a load
     */
    record ResponseMetadata(String worker, List<String> attemptSummaries, int attempts, boolean loaded) {}

    /** Hands on a worker's answer; takes over {@code body}, which may be null. */
    void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata facts);

    /** Ends the call without an answer: {@link FinalAnswer#REFUSED} or {@link FinalAnswer#FAILED}. */
    void sendError(FinalAnswer answer, long coolDownNanos, ResponseMetadata facts);

    /** A streamed answer begins; what follows comes from {@code stream}, without the loop. */
    void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata facts);
}

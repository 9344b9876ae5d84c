package wharfhinge.gateway.loop;

import io.netty.buffer.ByteBuf;
import java.util.List;
import wharfhinge.protocol.FinalAnswer;

/** Where a call's final answer goes; called by the loop's thread once for each call, never blocks. */
public interface Responder {

    /**
     * What a client is told beside the answer itself.
     *
     * @param worker   the one that served, or null
     * @param trail    what became of each attempt, or why there was none
     * @param attempts how many there were
     * @param loaded   whether the one that served loaded, or waited for a load
     */
    record Facts(String worker, List<String> trail, int attempts, boolean loaded) {}

    /** Hands on a worker's answer; takes over {@code body}, which may be null. */
    void served(ByteBuf body, CharSequence contentType, Facts facts);

    /** Ends the call without an answer: {@link FinalAnswer#REFUSED} or {@link FinalAnswer#FAILED}. */
    void ended(FinalAnswer answer, long coolDownNanos, Facts facts);

    /** A streamed answer begins; what follows comes from {@code stream}, without the loop. */
    void streams(WorkerSide.Stream stream, Facts facts);
}

package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicBoolean;
import wharfhinge.protocol.CallHead;

/**
 * A call as the clients' side hands it over.
 *
 * @param head       checked
 * @param deadlineNanos how long the client waits, counted from {@code receivedAt}
 * @param receivedAt {@link System#nanoTime} when its last byte came
 * @param body       kept for a repeat; the loop owns it once the call is taken
 * @param clientCancelled set once its client was seen to leave, before the loop comes round to it: nothing more is sent for it
 */
public record ClientCall(
        CallHead head,
        String requestClass,
        long deadlineNanos,
        long receivedAt,
        ByteBuf body,
        CharSequence contentType,
        ResponseSink responseSink,
        AtomicBoolean clientCancelled) {

    /** A call whose client is there. */
    public ClientCall(
            CallHead head,
            String requestClass,
            long deadlineNanos,
            long receivedAt,
            ByteBuf body,
            CharSequence contentType,
            ResponseSink responder) {
        this(head, requestClass, deadlineNanos, receivedAt, body, contentType, responder, new AtomicBoolean());
    }
}

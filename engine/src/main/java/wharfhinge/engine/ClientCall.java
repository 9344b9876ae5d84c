package wharfhinge.engine;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.atomic.AtomicBoolean;
import wharfhinge.protocol.CallHead;

/**
 * A call as a client listener submits it.
 *
 * @param head            the validated call head
 * @param deadlineNanos   how long the client waits, counted from {@code receivedAt}
 * @param receivedAt      {@link System#nanoTime} when its last byte was received
 * @param body            the request body, kept for retries until the call is answered; owned by the engine once the call is accepted
 * @param clientCancelled set as soon as the client cancels or disconnects; no attempt is sent from then on
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

    /** Creates a call whose client has not cancelled it. */
    public ClientCall(
            CallHead head,
            String requestClass,
            long deadlineNanos,
            long receivedAt,
            ByteBuf body,
            CharSequence contentType,
            ResponseSink responseSink) {
        this(head, requestClass, deadlineNanos, receivedAt, body, contentType, responseSink, new AtomicBoolean());
    }

    /** Whether the client has cancelled or disconnected, also if that was not read so far. To be called on I/O threads. */
    boolean checkClientCancelled() {
        if (!clientCancelled.get()) {
            responseSink.readClientInput();
        }
        return clientCancelled.get();
    }
}

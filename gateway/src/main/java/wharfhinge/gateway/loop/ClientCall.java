package wharfhinge.gateway.loop;

import io.netty.buffer.ByteBuf;
import wharfhinge.protocol.CallHead;

/**
 * A call as the clients' side hands it over.
 *
 * @param head       checked
 * @param deadlineNs how long the client waits, counted from {@code receivedAt}
 * @param receivedAt {@link System#nanoTime} when its last byte came
 * @param body       kept for a repeat; the loop owns it once the call is taken
 */
public record ClientCall(CallHead head, String requestClass, long deadlineNs, long receivedAt, ByteBuf body,
                         CharSequence contentType, Responder responder) { }

package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.WorkerProtocol;

/**
 * One request to a worker and its response. Confined to its pool's event loop once started. Owns the request body until it is
 * sent, and the response body until it is passed to the listener.
 */
final class Exchange {
    private static final int MAX_COMPONENTS = 256;

    private final Http2Headers request;
    private final LongSupplier nanoTime;
    private final long startedAt;
    private final Consumer<WorkerTransport.ExchangeResult> onCompleted;
    private final Consumer<WorkerResponseStream> onStreamStarted; // null unless the response is streamed
    private final BooleanSupplier clientCancelled;
    private ByteBuf body;
    private boolean completed;
    private long deadlineAt;
    private boolean hasDeadline;
    private WorkerResponseHead responseHead = WorkerResponseHead.NONE;
    private CompositeByteBuf responseBody;
    private WorkerConnection connection; // null until the request is sent, as is the stream
    private Http2FrameStream stream;
    private WorkerResponseStream responseStream; // null unless a streamed response has started
    private Future<?> timeout;

    /** Takes ownership of {@code body}, which may be null; {@code onStreamStarted} is null unless the response is streamed. */
    Exchange(
            Http2Headers request,
            ByteBuf body,
            LongSupplier nanoTime,
            Consumer<WorkerTransport.ExchangeResult> onCompleted,
            Consumer<WorkerResponseStream> onStreamStarted,
            BooleanSupplier clientCancelled) {
        this.request = request;
        this.body = body;
        this.nanoTime = nanoTime;
        this.startedAt = nanoTime.getAsLong();
        this.onCompleted = onCompleted;
        this.onStreamStarted = onStreamStarted;
        this.clientCancelled = clientCancelled;
    }

    /** Creates a request without a body that belongs to no client call: a probe, a load or an unload. */
    static Exchange control(
            Http2Headers request, LongSupplier nanoTime, Consumer<WorkerTransport.ExchangeResult> onCompleted) {
        return new Exchange(request, null, nanoTime, onCompleted, null, () -> false);
    }

    Http2Headers request() {
        return request;
    }

    /** Whether the client has cancelled the call, so that the request need not be sent. */
    boolean isClientCancelled() {
        return clientCancelled.getAsBoolean();
    }

    boolean isCompleted() {
        return completed;
    }

    /** Sets the deadline on the gateway's monotonic clock; the worker receives the time remaining until then. */
    void setDeadline(long deadlineNanos) {
        deadlineAt = deadlineNanos;
        hasDeadline = true;
    }

    /** Writes the remaining time into the request's headers right before sending; returns false if none remains. */
    boolean writeRemainingDeadline() {
        if (!hasDeadline) {
            return true;
        }
        long remainingNanos = deadlineAt - nanoTime.getAsLong();
        request.setLong(WorkerProtocol.DEADLINE_MS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
        return remainingNanos > 0;
    }

    /** Sets the timeout task, which is cancelled when the exchange ends. */
    void setTimeout(Future<?> scheduled) {
        timeout = scheduled;
    }

    /** Records the connection and the stream on which the request is sent. */
    void onSent(WorkerConnection usedConnection, Http2FrameStream usedStream) {
        connection = usedConnection;
        stream = usedStream;
    }

    boolean isSent() {
        return connection != null;
    }

    WorkerConnection connection() {
        return connection;
    }

    Http2FrameStream stream() {
        return stream;
    }

    /** Passes ownership of the body, which may be null, to the caller. */
    ByteBuf takeBody() {
        ByteBuf taken = body;
        body = null;
        return taken;
    }

    void onHeaders(Http2Headers headers) {
        if (responseHead == WorkerResponseHead.NONE) {
            responseHead = new WorkerResponseHead(headers);
            responseHead.parseStatus();
        } // later header frames are trailers, which the protocol does not use
    }

    /** Whether the response has started and is to be streamed to the client. */
    boolean shouldStartStream() {
        return onStreamStarted != null
                && responseStream == null
                && AttemptOutcomeMapping.RESPONSE_RECEIVED.outcome(responseHead.status(), responseHead.code())
                        == Outcome.SERVED;
    }

    void startStream() {
        responseStream = new WorkerResponseStream(this, responseHead.contentType());
        onStreamStarted.accept(responseStream);
    }

    /** The streamed response, or null if none has started. */
    WorkerResponseStream responseStream() {
        return responseStream;
    }

    /** Appends a part of the response body, taking ownership; returns false if the body exceeds the limit. */
    boolean appendBody(ByteBuf part, int maxBytes) {
        if (responseBody == null) {
            responseBody = part.alloc().compositeBuffer(MAX_COMPONENTS);
        }
        responseBody.addComponent(true, part);
        return responseBody.readableBytes() <= maxBytes;
    }

    /** Ends the exchange and reports the result; only the first invocation has an effect. */
    void complete(AttemptOutcomeMapping end) {
        if (completed) {
            return;
        }
        boolean responded = end == AttemptOutcomeMapping.RESPONSE_RECEIVED;
        WorkerTransport.ExchangeResult result = new WorkerTransport.ExchangeResult(
                end.outcome(responseHead.status(), responseHead.code()),
                AttemptOutcomeMapping.cacheStatus(responseHead.note()),
                responseHead.concurrentOnWorker(),
                responseHead.loadReport(),
                responseHead.loadedCopies(),
                nanoTime.getAsLong() - startedAt,
                responded ? responseBody : null,
                responseHead.contentType(),
                responded ? responseHead.reason() : end.reason());
        if (responded) {
            responseBody = null; // the result owns it
        }
        discard();
        if (responseStream != null) {
            responseStream.onEnd(responded);
        }
        onCompleted.accept(result);
    }

    /** Ends the exchange without reporting a result, and releases the buffers that it still owns. */
    void discard() {
        completed = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        ReferenceCountUtil.release(body);
        ReferenceCountUtil.release(responseBody);
        body = null;
        responseBody = null;
    }
}

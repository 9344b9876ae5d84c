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
 * One request to a worker and its response. Confined to its pool's event loop once started; owns the request's body until it
 * is sent and the response's until it is handed on.
 */
final class Exchange {
    private static final int MAX_COMPONENTS = 256;

    private final Http2Headers request;
    private final LongSupplier nanoTime;
    private final long startedAt;
    private final Consumer<WorkerTransport.ExchangeResult> onCompleted;
    private final Consumer<WorkerResponseStream> onStreamStarted; // null where the response is not streamed
    private final BooleanSupplier clientCancelled;
    private ByteBuf body;
    private boolean completed;
    private long deadlineAt;
    private boolean hasDeadline;
    private WorkerResponseHead responseHead = WorkerResponseHead.NONE;
    private CompositeByteBuf responseBody;
    private WorkerConnection connection; // null until it is sent, as is the stream
    private Http2FrameStream stream;
    private WorkerResponseStream responseStream; // null unless a streamed response has started
    private Future<?> timeout;

    /** Takes ownership of {@code body}, which may be null; {@code onStreamStarted} is null where nothing streams. */
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

    /** A request without a body, for no client: a probe, a load or an unload. */
    static Exchange control(
            Http2Headers request, LongSupplier nanoTime, Consumer<WorkerTransport.ExchangeResult> onCompleted) {
        return new Exchange(request, null, nanoTime, onCompleted, null, () -> false);
    }

    Http2Headers request() {
        return request;
    }

    /** Whether there is nobody left to send it for. */
    boolean isClientCancelled() {
        return clientCancelled.getAsBoolean();
    }

    boolean isCompleted() {
        return completed;
    }

    /** When the gateway stops waiting, by its monotonic clock; the worker receives what is left of it. */
    void setDeadline(long deadlineNanos) {
        deadlineAt = deadlineNanos;
        hasDeadline = true;
    }

    /** Writes the time that is left into the request, which is about to be sent; false where none is left. */
    boolean writeRemainingDeadline() {
        if (!hasDeadline) {
            return true;
        }
        long leftNanos = deadlineAt - nanoTime.getAsLong();
        request.setLong(WorkerProtocol.DEADLINE_MS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)));
        return leftNanos > 0;
    }

    /** Is cancelled when the exchange ends. */
    void setTimeout(Future<?> scheduled) {
        timeout = scheduled;
    }

    /** It goes out on that stream. */
    void onSent(WorkerConnection over, Http2FrameStream as) {
        connection = over;
        stream = as;
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
        } // later ones are trailers, which the protocol does not use
    }

    /** Whether the response that has started is to be passed on as it comes. */
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

    /** The streamed response, or null. */
    WorkerResponseStream responseStream() {
        return responseStream;
    }

    /** Appends a part of the response, taking ownership; false where it is over the limit. */
    boolean appendBody(ByteBuf part, int maxBytes) {
        if (responseBody == null) {
            responseBody = part.alloc().compositeBuffer(MAX_COMPONENTS);
        }
        responseBody.addComponent(true, part);
        return responseBody.readableBytes() <= maxBytes;
    }

    /** Ends it and reports the result; the first call counts. */
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
                responded ? responseHead.reason() : end.word());
        if (responded) {
            responseBody = null; // the result owns it
        }
        discard();
        if (responseStream != null) {
            responseStream.onEnd(responded);
        }
        onCompleted.accept(result);
    }

    /** Ends it without a result: it was cancelled. All that it still owns is released here. */
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

package wharfhinge.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.engine.ResponseSink;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.FinalAnswer;

/** Writes the response of one call to its client. Thread-safe: each method enqueues its work on the connection's I/O thread. */
final class HttpResponseWriter implements ResponseSink {
    private final ChannelHandlerContext ctx;
    private final Runnable onWritten;
    private final BooleanSupplier isLastResponse;

    /**
     * Creates a writer to {@code ctx}.
     *
     * @param onWritten      run on the I/O thread once the response is written
     * @param isLastResponse whether the HTTP/1.1 connection closes after this response
     */
    HttpResponseWriter(ChannelHandlerContext ctx, Runnable onWritten, BooleanSupplier isLastResponse) {
        this.ctx = ctx;
        this.onWritten = onWritten;
        this.isLastResponse = isLastResponse;
    }

    @Override
    public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata metadata) {
        ctx.executor().execute(() -> {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body == null ? Unpooled.EMPTY_BUFFER : body);
            writeHeaders(response.headers(), FinalAnswer.SERVED, contentType, metadata);
            write(response);
        });
    }

    @Override
    public void sendError(FinalAnswer finalAnswer, long retryAfterNanos, ResponseMetadata metadata) {
        ctx.executor().execute(() -> {
            String text = finalAnswer.word() + ": " + String.join(", ", metadata.attemptSummaries()) + '\n';
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(finalAnswer.status()),
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            writeHeaders(response.headers(), finalAnswer, HttpHeaderValues.TEXT_PLAIN, metadata);
            if (retryAfterNanos > 0) {
                long retryAfterMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(retryAfterNanos));
                response.headers()
                        .set(ClientProtocol.RETRY_AFTER_MS, retryAfterMillis)
                        .set(HttpHeaderNames.RETRY_AFTER, (retryAfterMillis + 999) / 1000); // rounded up to seconds
            }
            write(response);
        });
    }

    /** Sends the final answer of a chain. {@code body} is the JSON of {@link ChainJsonCodec#write}. */
    void sendChainResult(ChainResult result, byte[] body) {
        ctx.executor().execute(() -> {
            FinalAnswer finalAnswer =
                    switch (result.kind()) {
                        case SERVED -> FinalAnswer.SERVED;
                        case REFUSED -> FinalAnswer.REFUSED;
                        case FAILED -> FinalAnswer.FAILED;
                    };
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(finalAnswer.status()),
                    Unpooled.wrappedBuffer(body));
            writeHeaders(
                    response.headers(),
                    finalAnswer,
                    HttpHeaderValues.APPLICATION_JSON,
                    new ResponseMetadata(
                            null,
                            result.reason().isEmpty() ? List.of() : List.of(result.reason()),
                            (int) result.steps().stream()
                                    .filter(state -> state != ChainResult.StepState.NOT_STARTED)
                                    .count(),
                            false));
            write(response);
        });
    }

    private void writeHeaders(
            HttpHeaders headers, FinalAnswer finalAnswer, CharSequence contentType, ResponseMetadata metadata) {
        headers.set(ClientProtocol.ANSWER, finalAnswer.word()).setInt(ClientProtocol.ATTEMPTS, metadata.attempts());
        if (isLastResponse.getAsBoolean()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (metadata.worker() != null) {
            headers.set(ClientProtocol.WORKER, metadata.worker());
        }
        if (!metadata.attemptSummaries().isEmpty()) {
            headers.set(ClientProtocol.REASON, String.join(", ", metadata.attemptSummaries()));
        }
        if (contentType != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
    }

    private void write(FullHttpResponse response) {
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        ctx.writeAndFlush(response);
        onWritten.run();
    }

    @Override
    public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata metadata) {
        ctx.executor().execute(() -> {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            writeHeaders(response.headers(), FinalAnswer.SERVED, stream.contentType(), metadata);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.writeAndFlush(response);
        });
        stream.subscribe(new WorkerTransport.StreamConsumer() {
            @Override
            public void onData(ByteBuf part, Runnable onPartWritten) {
                ctx.executor().execute(() -> {
                    if (!ctx.channel().isActive()) {
                        ReferenceCountUtil.release(part);
                        return;
                    }
                    ctx.writeAndFlush(new DefaultHttpContent(part)).addListener(written -> onPartWritten.run());
                });
            }

            @Override
            public void onEnd(boolean complete) {
                ctx.executor().execute(() -> {
                    if (complete) {
                        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                        onWritten.run();
                    } else {
                        ctx.close(); // so that the client detects the truncated response
                    }
                });
            }
        });
    }
}

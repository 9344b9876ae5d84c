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
import java.util.function.BooleanSupplier;
import wharfhinge.decisions.chain.ChainEnd;
import wharfhinge.engine.ResponseSink;
import wharfhinge.engine.WorkerTransport;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.FinalAnswer;

/** Writes one call's answer to its client; each method hands over to the connection's I/O thread. */
final class HttpResponder implements ResponseSink {
    private static final long MS = 1_000_000L;

    private final ChannelHandlerContext ctx;
    private final Runnable written;
    private final BooleanSupplier last;

    /** {@code written} runs on the I/O thread once the answer is on its way; {@code last} tells of HTTP/1.1's end. */
    HttpResponder(ChannelHandlerContext ctx, Runnable written, BooleanSupplier last) {
        this.ctx = ctx;
        this.written = written;
        this.last = last;
    }

    @Override
    public void sendResponse(ByteBuf body, CharSequence contentType, ResponseMetadata facts) {
        ctx.executor().execute(() -> {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body == null ? Unpooled.EMPTY_BUFFER : body);
            head(response.headers(), FinalAnswer.SERVED, contentType, facts);
            write(response);
        });
    }

    @Override
    public void sendError(FinalAnswer answer, long coolDownNanos, ResponseMetadata facts) {
        ctx.executor().execute(() -> {
            String text = answer.word() + ": " + String.join(", ", facts.attemptSummaries()) + '\n';
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(answer.status()),
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            head(response.headers(), answer, HttpHeaderValues.TEXT_PLAIN, facts);
            if (coolDownNanos > 0) {
                long ms = Math.max(1, coolDownNanos / MS);
                response.headers()
                        .set(ClientProtocol.RETRY_AFTER_MS, ms)
                        .set(HttpHeaderNames.RETRY_AFTER, (ms + 999) / 1000);
            }
            write(response);
        });
    }

    /** Ends a chain; the body tells of its steps. */
    void chainEnded(ChainEnd end, byte[] body) {
        ctx.executor().execute(() -> {
            FinalAnswer answer =
                    switch (end.kind()) {
                        case SERVED -> FinalAnswer.SERVED;
                        case REFUSED -> FinalAnswer.REFUSED;
                        case FAILED -> FinalAnswer.FAILED;
                    };
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), Unpooled.wrappedBuffer(body));
            head(
                    response.headers(),
                    answer,
                    HttpHeaderValues.APPLICATION_JSON,
                    new ResponseMetadata(
                            null,
                            end.reason().isEmpty() ? List.of() : List.of(end.reason()),
                            (int) end.steps().stream()
                                    .filter(s -> s != ChainEnd.StepState.NOT_STARTED)
                                    .count(),
                            false));
            write(response);
        });
    }

    private void head(HttpHeaders headers, FinalAnswer answer, CharSequence contentType, ResponseMetadata facts) {
        headers.set(ClientProtocol.ANSWER, answer.word()).setInt(ClientProtocol.ATTEMPTS, facts.attempts());
        if (last.getAsBoolean()) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (facts.worker() != null) {
            headers.set(ClientProtocol.WORKER, facts.worker());
        }
        if (!facts.attemptSummaries().isEmpty()) {
            headers.set(ClientProtocol.REASON, String.join(", ", facts.attemptSummaries()));
        }
        if (contentType != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
    }

    private void write(FullHttpResponse response) {
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        ctx.writeAndFlush(response);
        written.run();
    }

    @Override
    public void startStream(WorkerTransport.ResponseStream stream, ResponseMetadata facts) {
        ctx.executor().execute(() -> {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head(response.headers(), FinalAnswer.SERVED, stream.contentType(), facts);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.writeAndFlush(response);
        });
        stream.subscribe(new WorkerTransport.StreamConsumer() {
            @Override
            public void onData(ByteBuf part, Runnable taken) {
                ctx.executor().execute(() -> {
                    if (!ctx.channel().isActive()) {
                        ReferenceCountUtil.release(part);
                        return;
                    }
                    ctx.writeAndFlush(new DefaultHttpContent(part)).addListener(done -> taken.run());
                });
            }

            @Override
            public void onEnd(boolean whole) {
                ctx.executor().execute(() -> {
                    if (whole) {
                        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
                        written.run();
                    } else {
                        ctx.close(); // a half answer must not look like a whole one
                    }
                });
            }
        });
    }
}

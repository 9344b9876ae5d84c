package wharfhinge.client.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import wharfhinge.client.Call;
import wharfhinge.client.Transport;
import wharfhinge.client.core.AttemptResult;
import wharfhinge.protocol.ClientProtocol;

/** One attempt on one HTTP/2 stream. Reports its end to the listener once, or not at all after it was abandoned. */
final class Exchange implements Transport.AttemptHandle {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MIN_CLIENT_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final String gateway;
    private final Call call;
    private final long deadline;
    private final boolean retry;
    private final int maxResponseBytes;
    private final String token; // never logged
    private final Transport.Listener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean sent;
    private volatile Channel stream;

    Exchange(
            String gateway,
            Call call,
            long remainingNanos,
            boolean retry,
            int maxResponseBytes,
            String token,
            Transport.Listener listener) {
        this.token = token;
        this.gateway = gateway;
        this.call = call;
        this.deadline = System.nanoTime() + remainingNanos;
        this.retry = retry;
        this.maxResponseBytes = maxResponseBytes;
        this.listener = listener;
    }

    boolean ended() {
        return ended.get();
    }

    /** Ends the attempt as not sent. */
    void failUnsent(String reason) {
        end(Transport.Reply.withoutBody(AttemptResult.NOT_SENT, gateway + ": " + reason));
    }

    /** Ends the attempt as broken if it was sent, else as not sent. */
    void fail(String reason) {
        end(Transport.Reply.withoutBody(sent ? AttemptResult.BROKEN : AttemptResult.NOT_SENT, gateway + ": " + reason));
    }

    /** Reports the reply unless the attempt has ended or was abandoned. */
    void end(Transport.Reply reply) {
        if (ended.compareAndSet(false, true)) {
            listener.onEnded(reply);
        }
    }

    @Override
    public void abandon() {
        ended.set(true);
        Channel channel = stream;
        if (channel != null) {
            channel.close(); // resets the stream, which signals the cancellation to the gateway
        }
    }

    /** Sends the request on {@code channel}, a newly opened stream. */
    void start(Channel channel) {
        stream = channel;
        if (ended.get()) {
            channel.close();
            return;
        }
        channel.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(false), new ResetHandler());
        if (call.streams()) {
            channel.config().setAutoRead(false); // read only on request, so that flow control limits the gateway
            channel.pipeline().addLast(new StreamedResponseHandler(this, listener, maxResponseBytes));
            channel.read();
        } else {
            channel.pipeline().addLast(new HttpObjectAggregator(maxResponseBytes), new ResponseHandler());
        }
        channel.writeAndFlush(request()).addListener(written -> {
            if (!written.isSuccess()) {
                failUnsent("request not written: " + written.cause());
                channel.close();
            }
        });
        sent = true; // from here on a failure may follow the transmission of the request
    }

    private FullHttpRequest request() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                ClientProtocol.CALL_PATH + call.function(),
                Unpooled.wrappedBuffer(call.body()));
        HttpHeaders headers = request.headers();
        headers.set(HttpHeaderNames.HOST, gateway).setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        headers.set(ClientProtocol.CLASS, call.requestClass());
        headers.set(ClientProtocol.DEADLINE_MS, Math.max(1, (deadline - System.nanoTime()) / NANOS_PER_MILLI));
        set(headers, HttpHeaderNames.CONTENT_TYPE, call.contentType());
        set(headers, HttpHeaderNames.AUTHORIZATION, token == null ? null : "Bearer " + token);
        set(headers, ClientProtocol.TENANT, call.tenant());
        set(headers, ClientProtocol.ID, call.id());
        set(headers, ClientProtocol.COST_US, call.costUs() > 0 ? Long.toString(call.costUs()) : null);
        set(headers, ClientProtocol.MEMORY_MB, call.memoryMb() > 0 ? Double.toString(call.memoryMb()) : null);
        set(headers, ClientProtocol.LANES, call.lanes() > 0 ? Integer.toString(call.lanes()) : null);
        set(headers, ClientProtocol.LOAD_MS, call.loadMillis() > 0 ? Double.toString(call.loadMillis()) : null);
        set(headers, ClientProtocol.REPEAT, retry ? "1" : null);
        set(headers, ClientProtocol.WRITE, call.write() ? "1" : null);
        return request;
    }

    private static void set(HttpHeaders headers, CharSequence name, String value) {
        if (value != null) {
            headers.set(name, value);
        }
    }

    /** Handles stream resets. A stream that was refused, or is above the last stream of a GOAWAY, was not processed. */
    private final class ResetHandler extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof Http2GoAwayFrame) {
                failUnsent("GOAWAY received, stream not processed");
                ctx.close();
            } else if (event instanceof Http2ResetFrame reset) {
                if (reset.errorCode() == Http2Error.REFUSED_STREAM.code()) {
                    failUnsent("stream refused");
                } else {
                    fail("stream reset, code " + reset.errorCode());
                }
                ctx.close();
            }
            super.userEventTriggered(ctx, event);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            end(reply(response));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection or stream closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause.toString());
            ctx.close();
        }
    }

    private static Transport.Reply reply(FullHttpResponse response) {
        return reply(response, ByteBufUtil.getBytes(response.content()));
    }

    /** Converts a response's headers and body to a reply. */
    static Transport.Reply reply(HttpResponse response, byte[] body) {
        HttpHeaders headers = response.headers();
        String answer = headers.get(ClientProtocol.ANSWER, "");
        int status = response.status().code();
        AttemptResult result =
                switch (answer) {
                    case "served" -> AttemptResult.SERVED;
                    case "refused" -> AttemptResult.REFUSED;
                    case "failed" -> AttemptResult.FAILED;
                    default -> status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS
                            ? AttemptResult.INVALID
                            : AttemptResult.FAILED;
                };
        String reason = result == AttemptResult.INVALID
                ? new String(body, StandardCharsets.UTF_8).strip()
                : headers.get(ClientProtocol.REASON);
        String retryAfterMillis = headers.get(ClientProtocol.RETRY_AFTER_MS, "");
        long retryAfterNanos =
                retryAfterMillis.matches("[0-9]{1,9}") ? Long.parseLong(retryAfterMillis) * NANOS_PER_MILLI : 0;
        return new Transport.Reply(
                result,
                body,
                headers.get(HttpHeaderNames.CONTENT_TYPE),
                headers.get(ClientProtocol.WORKER),
                retryAfterNanos,
                reason);
    }
}

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

/** One try on one stream. Told its end once; after it was abandoned not at all. */
final class Exchange implements Transport.AttemptHandle {
    private static final long MS = 1_000_000L;
    private static final int CLIENT_ERRORS = 400;
    private static final int SERVER_ERRORS = 500;

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

    /** It never was on its way. */
    void notSent(String reason) {
        end(Transport.Reply.withoutBody(AttemptResult.NOT_SENT, gateway + ": " + reason));
    }

    void fail(String reason) {
        end(Transport.Reply.withoutBody(sent ? AttemptResult.BROKEN : AttemptResult.NOT_SENT, gateway + ": " + reason));
    }

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
            channel.close(); // resets the stream: the gateway learns that its client left
        }
    }

    /** Goes out on a stream of its own. */
    void start(Channel channel) {
        stream = channel;
        if (ended.get()) {
            channel.close();
            return;
        }
        channel.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(false), new ResetHandler());
        if (call.streams()) {
            channel.config()
                    .setAutoRead(false); // read on as the caller asks for more: flow control holds the gateway back
            channel.pipeline().addLast(new StreamedResponseHandler(this, listener, maxResponseBytes));
            channel.read();
        } else {
            channel.pipeline().addLast(new HttpObjectAggregator(maxResponseBytes), new ResponseHandler());
        }
        channel.writeAndFlush(request()).addListener(written -> {
            if (!written.isSuccess()) {
                notSent("not written: " + written.cause());
                channel.close();
            }
        });
        sent = true; // from here on a break may have come after the bytes left
    }

    private FullHttpRequest request() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.POST,
                ClientProtocol.CALL_PATH + call.function(),
                Unpooled.wrappedBuffer(call.body()));
        HttpHeaders h = request.headers();
        h.set(HttpHeaderNames.HOST, gateway).setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        h.set(ClientProtocol.CLASS, call.requestClass());
        h.set(ClientProtocol.DEADLINE_MS, Math.max(1, (deadline - System.nanoTime()) / MS));
        set(h, HttpHeaderNames.CONTENT_TYPE, call.contentType());
        set(h, HttpHeaderNames.AUTHORIZATION, token == null ? null : "Bearer " + token);
        set(h, ClientProtocol.TENANT, call.tenant());
        set(h, ClientProtocol.ID, call.id());
        set(h, ClientProtocol.COST_US, call.costUs() > 0 ? Long.toString(call.costUs()) : null);
        set(h, ClientProtocol.MEMORY_MB, call.memoryMb() > 0 ? Double.toString(call.memoryMb()) : null);
        set(h, ClientProtocol.LANES, call.lanes() > 0 ? Integer.toString(call.lanes()) : null);
        set(h, ClientProtocol.LOAD_MS, call.loadMillis() > 0 ? Double.toString(call.loadMillis()) : null);
        set(h, ClientProtocol.REPEAT, retry ? "1" : null);
        set(h, ClientProtocol.WRITE, call.write() ? "1" : null);
        return request;
    }

    private static void set(HttpHeaders headers, CharSequence name, String value) {
        if (value != null) {
            headers.set(name, value);
        }
    }

    /** A stream that the gateway refused was not looked at. */
    private final class ResetHandler extends io.netty.channel.ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event instanceof Http2GoAwayFrame) {
                notSent("going away, and had not seen the stream");
                ctx.close();
            } else if (event instanceof Http2ResetFrame reset) {
                if (reset.errorCode() == Http2Error.REFUSED_STREAM.code()) {
                    notSent("stream refused");
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

    /** What headers and body mean. */
    static Transport.Reply reply(HttpResponse response, byte[] body) {
        HttpHeaders h = response.headers();
        String answer = h.get(ClientProtocol.ANSWER, "");
        int status = response.status().code();
        AttemptResult end =
                switch (answer) {
                    case "served" -> AttemptResult.SERVED;
                    case "refused" -> AttemptResult.REFUSED;
                    case "failed" -> AttemptResult.FAILED;
                    default -> status >= CLIENT_ERRORS && status < SERVER_ERRORS
                            ? AttemptResult.INVALID
                            : AttemptResult.FAILED;
                };
        String reason = end == AttemptResult.INVALID
                ? new String(body, StandardCharsets.UTF_8).strip()
                : h.get(ClientProtocol.REASON);
        String advice = h.get(ClientProtocol.RETRY_AFTER_MS, "");
        long adviceNanos = advice.matches("[0-9]{1,9}") ? Long.parseLong(advice) * MS : 0;
        return new Transport.Reply(
                end, body, h.get(HttpHeaderNames.CONTENT_TYPE), h.get(ClientProtocol.WORKER), adviceNanos, reason);
    }
}

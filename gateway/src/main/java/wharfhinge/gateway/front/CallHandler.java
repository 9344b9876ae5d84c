package wharfhinge.gateway.front;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import wharfhinge.engine.ChainCall;
import wharfhinge.engine.ClientCall;
import wharfhinge.engine.DispatchEngine;
import wharfhinge.engine.ResponseSink;
import wharfhinge.gateway.tls.Identity;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.FinalAnswer;
import wharfhinge.protocol.ProtocolException;

/**
 * Takes one client's requests, one at a time on HTTP/1.1 (further ones wait in order, a few at most) and one a stream
 * on HTTP/2; checks them and hands calls over to the loop. Lives on the connection's I/O thread.
 */
final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int PIPELINED = 16;
    private static final long MS = 1_000_000L;

    private final Intake intake;
    private final StatusPage status;
    private final boolean http2;
    private final ArrayDeque<FullHttpRequest> next = new ArrayDeque<>(2);
    private ClientCall open;
    private ChainCall openChain;
    private boolean closing;

    CallHandler(Intake intake, StatusPage status, boolean http2) {
        super(false);
        this.intake = intake;
        this.status = status;
        this.http2 = http2;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (free() && next.isEmpty()) {
            take(ctx, request);
        } else if (next.size() < PIPELINED) {
            next.add(request);
        } else {
            request.release();
            ctx.close(); // a client that sends on without reading answers gets no more memory
        }
    }

    private boolean free() {
        return open == null && openChain == null;
    }

    private void take(ChannelHandlerContext ctx, FullHttpRequest request) {
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            broken(ctx, decoded.cause());
            request.release();
            return;
        }
        String path = request.uri();
        boolean call = path.startsWith(ClientProtocol.CALL_PATH);
        if (call && request.method().equals(HttpMethod.POST)) {
            call(ctx, request, path);
            return;
        }
        boolean chain = path.equals(ClientProtocol.CHAIN_PATH);
        if (chain && request.method().equals(HttpMethod.POST)) {
            chain(ctx, request);
            return;
        }
        if (path.equals(ClientProtocol.STATUS_PATH) && request.method().equals(HttpMethod.GET)) {
            reply(ctx, HttpResponseStatus.OK, status.text(), true);
        } else if (call || chain || path.equals(ClientProtocol.STATUS_PATH)) {
            reply(
                    ctx,
                    HttpResponseStatus.METHOD_NOT_ALLOWED,
                    "method: found '" + request.method() + "', allowed: " + (call || chain ? "POST" : "GET"),
                    true);
        } else {
            reply(
                    ctx,
                    HttpResponseStatus.NOT_FOUND,
                    "path: found nothing there, allowed: " + ClientProtocol.CALL_PATH + "{function}, "
                            + ClientProtocol.CHAIN_PATH + ", " + ClientProtocol.STATUS_PATH,
                    true);
        }
        request.release();
    }

    private void call(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
        CallHead head;
        RequestClass type;
        try {
            head = CallHead.parse(path, name -> request.headers().get(name));
            type = intake.type(head);
        } catch (ProtocolException e) {
            reply(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage(), true);
            request.release();
            return;
        }
        Identity.Checked who = identity(ctx, request, head.tenant());
        if (who.fault() != Identity.Fault.NONE) {
            reply(ctx, status(who.fault()), who.why(), true);
            request.release();
            return;
        }
        head = head.of(who.tenant());
        long deadline = head.deadlineMillis() == 0
                ? type.maxDeadlineNanos()
                : Math.min(head.deadlineMillis() * MS, type.maxDeadlineNanos());
        ResponseSink responder = new HttpResponder(ctx, () -> answered(ctx), () -> closing && !http2);
        open = new ClientCall(
                head,
                type.name(),
                deadline,
                System.nanoTime(),
                request.content(),
                request.headers().get(HttpHeaderNames.CONTENT_TYPE),
                responder);
        DispatchEngine.SubmissionResult offered = intake.loop().submit(open);
        if (offered.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            request.release();
            notTaken(responder, offered);
        }
    }

    private Identity.Checked identity(ChannelHandlerContext ctx, FullHttpRequest request, String claimed) {
        Channel connection = http2 ? ctx.channel().parent() : ctx.channel();
        SslHandler tls = connection.pipeline().get(SslHandler.class);
        return intake.tenant(
                tls == null ? null : tls.engine().getSession(),
                request.headers().get(HttpHeaderNames.AUTHORIZATION),
                claimed);
    }

    private static HttpResponseStatus status(Identity.Fault fault) {
        return fault == Identity.Fault.OTHER_TENANT ? HttpResponseStatus.FORBIDDEN : HttpResponseStatus.UNAUTHORIZED;
    }

    private void chain(ChannelHandlerContext ctx, FullHttpRequest request) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        request.release();
        HttpResponder responder = new HttpResponder(ctx, () -> answered(ctx), () -> closing && !http2);
        ChainCall[] self = new ChainCall[1];
        try {
            self[0] = intake.chains()
                    .read(
                            body,
                            "x" + Long.toString(System.nanoTime(), Character.MAX_RADIX),
                            System.nanoTime(),
                            (end, answers) -> responder.chainEnded(end, ChainJson.write(self[0].plan(), end, answers)));
        } catch (ChainJson.BadChainException e) {
            reply(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage(), true);
            return;
        }
        Identity.Checked who = identity(ctx, request, self[0].tenant());
        if (who.fault() != Identity.Fault.NONE) {
            reply(ctx, status(who.fault()), who.why(), true);
            return;
        }
        self[0] = self[0].withTenant(who.tenant());
        openChain = self[0];
        DispatchEngine.SubmissionResult offered = intake.loop().submit(openChain);
        if (offered.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
            notTaken(responder, offered);
        }
    }

    private void notTaken(ResponseSink responder, DispatchEngine.SubmissionResult offered) {
        closing |= offered.status() == DispatchEngine.SubmissionStatus.SHUTTING_DOWN;
        responder.sendError(FinalAnswer.REFUSED, offered.retryAfterNanos(), Intake.notTaken(offered));
    }

    private void answered(ChannelHandlerContext ctx) {
        open = null;
        openChain = null;
        FullHttpRequest waiting = next.poll();
        if (waiting != null) {
            take(ctx, waiting);
        }
    }

    /** The connection is to end: at once where nothing is open, else after the answer. */
    void finish(ChannelHandlerContext ctx) {
        closing = true;
        if (free() && !http2) {
            ctx.close();
        }
    }

    private void broken(ChannelHandlerContext ctx, Throwable cause) {
        boolean headers = cause instanceof TooLongHttpHeaderException;
        HttpResponseStatus status = headers
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                        : HttpResponseStatus.BAD_REQUEST;
        reply(ctx, status, (headers ? "headers" : "request") + ": " + cause.getMessage(), false);
    }

    private void reply(ChannelHandlerContext ctx, HttpResponseStatus status, String text, boolean keep) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text + '\n', StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (keep) {
            ctx.writeAndFlush(response);
            answered(ctx);
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            if (free()) {
                ctx.close();
            }
        } else if (event == Finish.NOW) {
            finish(ctx);
        } else {
            super.userEventTriggered(ctx, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (open != null) {
            intake.loop().onClientCancelled(open);
            open = null;
        }
        if (openChain != null) {
            intake.loop().onClientCancelled(openChain);
            openChain = null;
        }
        next.forEach(ReferenceCountUtil::release);
        next.clear();
        super.channelInactive(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Asks a connection to end. */
    enum Finish {
        NOW
    }
}

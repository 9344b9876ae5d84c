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
import wharfhinge.gateway.tls.CallAuthenticator;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.FinalAnswer;
import wharfhinge.protocol.ProtocolException;

/**
 * Validates client requests and submits calls and chains to the engine. An HTTP/1.1 connection has one request in flight and queues a
 * limited number of pipelined requests; an HTTP/2 stream has one request. Confined to the connection's I/O thread.
 */
final class HttpCallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final String UNKNOWN_PATH = "path: found nothing there, allowed: " + ClientProtocol.CALL_PATH
            + "{function}, " + ClientProtocol.CHAIN_PATH + ", " + ClientProtocol.STATUS_PATH;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CallIngress ingress;
    private final StatusPage statusPage;
    private final boolean http2;
    private final ArrayDeque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>(2);
    private ClientCall callInFlight; // null if no call is in flight
    private ChainCall chainInFlight; // null if no chain is in flight
    private boolean draining;

    HttpCallHandler(CallIngress ingress, StatusPage statusPage, boolean http2) {
        super(false);
        this.ingress = ingress;
        this.statusPage = statusPage;
        this.http2 = http2;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (isIdle() && pipelinedRequests.isEmpty()) {
            onRequest(ctx, request);
        } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
            pipelinedRequests.add(request);
        } else {
            request.release();
            ctx.close(); // limits the memory for a client that pipelines without reading responses
        }
    }

    private boolean isIdle() {
        return callInFlight == null && chainInFlight == null;
    }

    private void onRequest(ChannelHandlerContext ctx, FullHttpRequest request) {
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            replyMalformedRequest(ctx, decoded.cause());
            request.release();
            return;
        }
        String path = request.uri();
        boolean isCall = path.startsWith(ClientProtocol.CALL_PATH);
        boolean isChain = path.equals(ClientProtocol.CHAIN_PATH);
        boolean isStatus = path.equals(ClientProtocol.STATUS_PATH);
        if (isCall && request.method().equals(HttpMethod.POST)) {
            onCallRequest(ctx, request, path);
        } else if (isChain && request.method().equals(HttpMethod.POST)) {
            onChainRequest(ctx, request);
        } else if (isStatus && request.method().equals(HttpMethod.GET)) {
            reply(ctx, HttpResponseStatus.OK, statusPage.text(), AfterReply.KEEP_OPEN);
            request.release();
        } else if (isCall || isChain || isStatus) {
            String allowed = isStatus ? "GET" : "POST";
            String message = "method: found '" + request.method() + "', allowed: " + allowed;
            reply(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, message, AfterReply.KEEP_OPEN);
            request.release();
        } else {
            reply(ctx, HttpResponseStatus.NOT_FOUND, UNKNOWN_PATH, AfterReply.KEEP_OPEN);
            request.release();
        }
    }

    private void onCallRequest(ChannelHandlerContext ctx, FullHttpRequest request, String path) {
        CallHead head;
        RequestClass requestClass;
        try {
            head = CallHead.parse(path, name -> request.headers().get(name));
            requestClass = ingress.classOf(head);
        } catch (ProtocolException e) {
            reply(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage(), AfterReply.KEEP_OPEN);
            request.release();
            return;
        }
        CallAuthenticator.Authentication authenticated = authenticate(ctx, request, head.tenant());
        if (authenticated.fault() != CallAuthenticator.Fault.NONE) {
            reply(ctx, statusOf(authenticated.fault()), authenticated.message(), AfterReply.KEEP_OPEN);
            request.release();
            return;
        }
        head = head.of(authenticated.tenant());
        long deadlineNanos = head.deadlineMillis() == 0
                ? requestClass.maxDeadlineNanos()
                : Math.min(head.deadlineMillis() * NANOS_PER_MILLI, requestClass.maxDeadlineNanos());
        ResponseSink responseWriter =
                new HttpResponseWriter(ctx, () -> onResponseWritten(ctx), () -> draining && !http2);
        callInFlight = new ClientCall(
                head,
                requestClass.name(),
                deadlineNanos,
                System.nanoTime(),
                request.content(),
                request.headers().get(HttpHeaderNames.CONTENT_TYPE),
                responseWriter);
        ClientCall call = callInFlight;
        afterRead(ctx, request::release, () -> {
            DispatchEngine.SubmissionResult submission = ingress.engine().submit(call);
            if (submission.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
                request.release();
                reject(responseWriter, submission);
            }
        });
    }

    /**
     * Submits a request once all that its client has sent was read, or discards it if the client has left by then: the end of the connection may
     * have been received together with the request.
     */
    private void afterRead(ChannelHandlerContext ctx, Runnable discard, Runnable submit) {
        Channel connection = http2 ? ctx.channel().parent() : ctx.channel();
        ctx.executor().execute(() -> {
            if (connection.isOpen() && ctx.channel().isOpen()) {
                submit.run();
            } else {
                callInFlight = null;
                chainInFlight = null;
                discard.run();
            }
        });
    }

    private CallAuthenticator.Authentication authenticate(
            ChannelHandlerContext ctx, FullHttpRequest request, String claimedTenant) {
        Channel connection = http2 ? ctx.channel().parent() : ctx.channel();
        SslHandler tls = connection.pipeline().get(SslHandler.class);
        return ingress.authenticate(
                tls == null ? null : tls.engine().getSession(),
                request.headers().get(HttpHeaderNames.AUTHORIZATION),
                claimedTenant);
    }

    private static HttpResponseStatus statusOf(CallAuthenticator.Fault fault) {
        return fault == CallAuthenticator.Fault.OTHER_TENANT
                ? HttpResponseStatus.FORBIDDEN
                : HttpResponseStatus.UNAUTHORIZED;
    }

    private void onChainRequest(ChannelHandlerContext ctx, FullHttpRequest request) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        request.release();
        HttpResponseWriter responseWriter =
                new HttpResponseWriter(ctx, () -> onResponseWritten(ctx), () -> draining && !http2);
        ChainCall[] chain = new ChainCall[1];
        try {
            chain[0] = ingress.chains()
                    .read(
                            body,
                            "x" + Long.toString(System.nanoTime(), Character.MAX_RADIX),
                            System.nanoTime(),
                            (result, answers) -> responseWriter.sendChainResult(
                                    result, ChainJsonCodec.write(chain[0].plan(), result, answers)));
        } catch (ChainJsonCodec.InvalidChainException e) {
            reply(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage(), AfterReply.KEEP_OPEN);
            return;
        }
        CallAuthenticator.Authentication authenticated = authenticate(ctx, request, chain[0].tenant());
        if (authenticated.fault() != CallAuthenticator.Fault.NONE) {
            reply(ctx, statusOf(authenticated.fault()), authenticated.message(), AfterReply.KEEP_OPEN);
            return;
        }
        chain[0] = chain[0].withTenant(authenticated.tenant());
        chainInFlight = chain[0];
        afterRead(ctx, () -> {}, () -> {
            DispatchEngine.SubmissionResult submission = ingress.engine().submit(chain[0]);
            if (submission.status() != DispatchEngine.SubmissionStatus.ACCEPTED) {
                reject(responseWriter, submission);
            }
        });
    }

    private void reject(ResponseSink responseWriter, DispatchEngine.SubmissionResult submission) {
        draining |= submission.status() == DispatchEngine.SubmissionStatus.SHUTTING_DOWN;
        responseWriter.sendError(
                FinalAnswer.REFUSED, submission.retryAfterNanos(), CallIngress.rejectedMetadata(submission));
    }

    private void onResponseWritten(ChannelHandlerContext ctx) {
        callInFlight = null;
        chainInFlight = null;
        FullHttpRequest next = pipelinedRequests.poll();
        if (next != null) {
            onRequest(ctx, next);
        }
    }

    /** Closes an HTTP/1.1 connection: immediately if nothing is in flight or unread, otherwise after the response. */
    void startDraining(ChannelHandlerContext ctx) {
        draining = true;
        if (!http2) {
            closeIfIdle(ctx);
        }
    }

    private void closeIfIdle(ChannelHandlerContext ctx) {
        if (isIdle() && !PendingInput.read(ctx.channel())) {
            ctx.close();
        }
    }

    private void replyMalformedRequest(ChannelHandlerContext ctx, Throwable cause) {
        boolean headersTooLarge = cause instanceof TooLongHttpHeaderException;
        HttpResponseStatus status = headersTooLarge
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : cause instanceof TooLongFrameException
                        ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                        : HttpResponseStatus.BAD_REQUEST;
        reply(ctx, status, (headersTooLarge ? "headers" : "request") + ": " + cause.getMessage(), AfterReply.CLOSE);
    }

    private void reply(ChannelHandlerContext ctx, HttpResponseStatus status, String text, AfterReply afterReply) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text + '\n', StandardCharsets.UTF_8));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (afterReply == AfterReply.KEEP_OPEN) {
            ctx.writeAndFlush(response);
            onResponseWritten(ctx);
        } else {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            closeIfIdle(ctx);
        } else if (event == ConnectionDrain.START) {
            startDraining(ctx);
        } else {
            super.userEventTriggered(ctx, event);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        if (callInFlight != null) {
            ingress.engine().onClientCancelled(callInFlight);
            callInFlight = null;
        }
        if (chainInFlight != null) {
            ingress.engine().onClientCancelled(chainInFlight);
            chainInFlight = null;
        }
        pipelinedRequests.forEach(ReferenceCountUtil::release);
        pipelinedRequests.clear();
        super.channelInactive(ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Whether an HTTP/1.1 connection stays open after a reply. */
    private enum AfterReply {
        KEEP_OPEN,
        CLOSE
    }

    /** The user event that starts the graceful shutdown of a connection. */
    enum ConnectionDrain {
        START
    }
}

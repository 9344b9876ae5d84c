package wharfhinge.client.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import wharfhinge.client.Transport;
import wharfhinge.client.core.AttemptResult;
import wharfhinge.protocol.ClientProtocol;

/**
 * Delivers a served answer part by part, reading on only when the listener requests it. Any other response is short: it is collected
 * and reported as a whole. Confined to the stream's event loop.
 */
final class StreamedResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Exchange exchange;
    private final Transport.Listener listener;
    private final int maxResponseBytes;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream(); // of a response not streamed
    private HttpResponse head;
    private boolean streaming;
    private boolean readRequested; // the listener is ready for the next part

    StreamedResponseHandler(Exchange exchange, Transport.Listener listener, int maxResponseBytes) {
        this.exchange = exchange;
        this.listener = listener;
        this.maxResponseBytes = maxResponseBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse response) {
            head = response;
            streaming = "served".equals(response.headers().get(ClientProtocol.ANSWER));
            readRequested = true;
            if (streaming && !exchange.ended()) {
                listener.onStreamStarted(
                        response.headers().get(ClientProtocol.WORKER),
                        response.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
        }
        if (message instanceof HttpContent content) {
            ByteBuf bytes = content.content();
            if (streaming && bytes.isReadable() && !exchange.ended()) {
                readRequested = false;
                listener.onPart(
                        ByteBufUtil.getBytes(bytes), () -> ctx.executor().execute(() -> {
                            readRequested = true;
                            ctx.read();
                        }));
            } else if (!streaming && errorBody.size() + bytes.readableBytes() <= maxResponseBytes) {
                errorBody.writeBytes(ByteBufUtil.getBytes(bytes));
            }
            if (message instanceof LastHttpContent) {
                exchange.end(
                        streaming
                                ? new Transport.Reply(
                                        AttemptResult.SERVED,
                                        new byte[0],
                                        head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                                        head.headers().get(ClientProtocol.WORKER),
                                        0,
                                        null)
                                : Exchange.reply(head, errorBody.toByteArray()));
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (readRequested || head == null) {
            ctx.read(); // the read may have brought only the head, or nothing for the listener
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        exchange.fail("connection or stream closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        exchange.fail(cause.toString());
        ctx.close();
    }
}

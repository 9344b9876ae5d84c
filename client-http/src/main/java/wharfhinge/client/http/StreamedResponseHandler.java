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
 * Hands a served answer on in parts, one read at a time; any other answer is short, collected and told whole. On the stream's event loop.
 */
final class StreamedResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Exchange exchange;
    private final Transport.Listener listener;
    private final int maxResponseBytes;
    private final ByteArrayOutputStream words = new ByteArrayOutputStream(); // of an answer that is not a stream
    private HttpResponse head;
    private boolean streams;
    private boolean asked; // the caller wants more than what was read

    StreamedResponseHandler(Exchange exchange, Transport.Listener listener, int maxResponseBytes) {
        this.exchange = exchange;
        this.listener = listener;
        this.maxResponseBytes = maxResponseBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse response) {
            head = response;
            streams = "served".equals(response.headers().get(ClientProtocol.ANSWER));
            asked = true;
            if (streams && !exchange.ended()) {
                listener.onStreamStarted(
                        response.headers().get(ClientProtocol.WORKER),
                        response.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
        }
        if (message instanceof HttpContent content) {
            ByteBuf bytes = content.content();
            if (streams && bytes.isReadable() && !exchange.ended()) {
                asked = false;
                listener.onPart(
                        ByteBufUtil.getBytes(bytes), () -> ctx.executor().execute(() -> {
                            asked = true;
                            ctx.read();
                        }));
            } else if (!streams && words.size() + bytes.readableBytes() <= maxResponseBytes) {
                words.writeBytes(ByteBufUtil.getBytes(bytes));
            }
            if (message instanceof LastHttpContent) {
                exchange.end(
                        streams
                                ? new Transport.Reply(
                                        AttemptResult.SERVED,
                                        new byte[0],
                                        head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                                        head.headers().get(ClientProtocol.WORKER),
                                        0,
                                        null)
                                : Exchange.reply(head, words.toByteArray()));
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (asked || head == null) {
            ctx.read(); // a read may bring the head alone, or nothing that the caller was told of
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

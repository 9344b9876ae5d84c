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
import wharfhinge.client.core.TryEnd;
import wharfhinge.protocol.ClientProtocol;

/**
 * Hands a served answer on in parts, one read at a time; any other answer is short, collected and told whole. On the stream's event loop.
 */
final class StreamedAnswer extends SimpleChannelInboundHandler<HttpObject> {
    private final Exchange exchange;
    private final Transport.Listener listener;
    private final int mostBytes;
    private final ByteArrayOutputStream words = new ByteArrayOutputStream(); // of an answer that is not a stream
    private HttpResponse head;
    private boolean streams;
    private boolean asked; // the caller wants more than what was read

    StreamedAnswer(Exchange exchange, Transport.Listener listener, int mostBytes) {
        this.exchange = exchange;
        this.listener = listener;
        this.mostBytes = mostBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (message instanceof HttpResponse response) {
            head = response;
            streams = "served".equals(response.headers().get(ClientProtocol.ANSWER));
            asked = true;
            if (streams && !exchange.over()) {
                listener.began(
                        response.headers().get(ClientProtocol.WORKER),
                        response.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
        }
        if (message instanceof HttpContent content) {
            ByteBuf bytes = content.content();
            if (streams && bytes.isReadable() && !exchange.over()) {
                asked = false;
                listener.part(ByteBufUtil.getBytes(bytes), () -> ctx.executor().execute(() -> {
                    asked = true;
                    ctx.read();
                }));
            } else if (!streams && words.size() + bytes.readableBytes() <= mostBytes) {
                words.writeBytes(ByteBufUtil.getBytes(bytes));
            }
            if (message instanceof LastHttpContent) {
                exchange.end(
                        streams
                                ? new Transport.Reply(
                                        TryEnd.SERVED,
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
        exchange.broke("connection or stream closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        exchange.broke(cause.toString());
        ctx.close();
    }
}

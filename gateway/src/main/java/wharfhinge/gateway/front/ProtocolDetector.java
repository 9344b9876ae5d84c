package wharfhinge.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http2.Http2CodecUtil;
import java.util.List;
import java.util.function.Consumer;

/** Tells HTTP/2 (prior knowledge) from HTTP/1.1 by the first bytes of a connection, then gives way to the protocol's handlers. */
final class ProtocolDetector extends ByteToMessageDecoder {
    private final Consumer<ChannelHandlerContext> http1;
    private final Consumer<ChannelHandlerContext> http2;
    private final ByteBuf preface = Http2CodecUtil.connectionPrefaceBuf();

    ProtocolDetector(Consumer<ChannelHandlerContext> http1, Consumer<ChannelHandlerContext> http2) {
        this.http1 = http1;
        this.http2 = http2;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int comparable = Math.min(in.readableBytes(), preface.readableBytes());
        for (int i = 0; i < comparable; i++) {
            if (in.getByte(in.readerIndex() + i) != preface.getByte(i)) {
                http1.accept(ctx);
                ctx.pipeline().remove(this);
                return;
            }
        }
        if (comparable == preface.readableBytes()) {
            http2.accept(ctx);
            ctx.pipeline().remove(this);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        preface.release();
    }
}

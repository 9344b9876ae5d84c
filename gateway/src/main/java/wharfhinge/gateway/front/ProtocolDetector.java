package wharfhinge.gateway.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http2.Http2CodecUtil;
import java.util.List;
import java.util.function.Consumer;

/** Detects HTTP/2 (prior knowledge) or HTTP/1.1 by the first bytes of a connection, then replaces itself by the protocol's handlers. */
final class ProtocolDetector extends ByteToMessageDecoder {
    private final Consumer<ChannelHandlerContext> initHttp1;
    private final Consumer<ChannelHandlerContext> initHttp2;
    private final ByteBuf preface = Http2CodecUtil.connectionPrefaceBuf();

    ProtocolDetector(Consumer<ChannelHandlerContext> initHttp1, Consumer<ChannelHandlerContext> initHttp2) {
        this.initHttp1 = initHttp1;
        this.initHttp2 = initHttp2;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int comparableBytes = Math.min(in.readableBytes(), preface.readableBytes());
        for (int i = 0; i < comparableBytes; i++) {
            if (in.getByte(in.readerIndex() + i) != preface.getByte(i)) {
                initHttp1.accept(ctx);
                ctx.pipeline().remove(this);
                return;
            }
        }
        if (comparableBytes == preface.readableBytes()) {
            initHttp2.accept(ctx);
            ctx.pipeline().remove(this);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        preface.release();
    }
}

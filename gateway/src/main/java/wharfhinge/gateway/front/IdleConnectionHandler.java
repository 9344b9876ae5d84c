package wharfhinge.gateway.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.timeout.IdleStateEvent;

/** Closes an HTTP/2 connection on the idle timeout if it has no open stream. */
final class IdleConnectionHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            Http2FrameCodec codec = ctx.pipeline().get(Http2FrameCodec.class);
            if (codec.connection().numActiveStreams() == 0) {
                ctx.close();
            }
        } else {
            super.userEventTriggered(ctx, event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}

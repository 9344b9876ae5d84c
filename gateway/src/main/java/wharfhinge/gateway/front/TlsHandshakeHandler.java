package wharfhinge.gateway.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.ssl.SslHandshakeCompletionEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the cause of a failed TLS handshake and closes the connection. Removes itself once the handshake has ended. */
final class TlsHandshakeHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("tls");

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof SslHandshakeCompletionEvent handshake) {
            if (!handshake.isSuccess()) {
                Throwable cause = handshake.cause();
                while (cause.getCause() != null && cause.getCause() != cause) {
                    cause = cause.getCause();
                }
                LOG.info("handshake with {} failed: {}", ctx.channel().remoteAddress(), cause.getMessage());
                ctx.close();
            }
            ctx.pipeline().remove(this);
        }
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close(); // a failed handshake is logged above; otherwise the connection was lost
    }
}

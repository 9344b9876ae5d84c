package wharfhinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.WorkerProtocol;

/** A worker for the warm-up. Answers each request immediately, on a free port of the loopback address. */
final class WarmUpWorker implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 16;

    private final Channel serverChannel;

    WarmUpWorker(NettyResources netty) throws InterruptedException {
        try {
            serverChannel = new ServerBootstrap()
                    .group(netty.acceptorGroup(), netty.ioGroup())
                    .channel(netty.serverChannelType())
                    .childHandler(new ConnectionInitializer())
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
        } catch (RuntimeException e) {
            throw new GatewayStartException(
                    "warm-up worker: cannot bind a loopback port: " + e.getMessage(),
                    new IOException(e.getMessage(), e));
        }
    }

    String endpoint() {
        return "127.0.0.1:" + ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    @Override
    public void close() {
        serverChannel.close();
    }

    private static final class ConnectionInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel connection) {
            connection
                    .pipeline()
                    .addLast(
                            Http2FrameCodecBuilder.forServer().build(),
                            new Http2MultiplexHandler(new StreamInitializer()));
        }
    }

    private static final class StreamInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel stream) {
            stream.pipeline()
                    .addLast(
                            new Http2StreamFrameToHttpObjectCodec(true),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new ServedResponseHandler());
        }
    }

    private static final class ServedResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
            response.headers()
                    .set(WorkerProtocol.OUTCOME, AnswerCode.SERVED.word())
                    .set(WorkerProtocol.NOTE, CopyNote.FOUND.word())
                    .setInt(WorkerProtocol.COUNT, 1)
                    .setInt("content-length", 0);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

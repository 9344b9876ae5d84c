package wharfhinge.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.CopyNote;
import wharfhinge.protocol.WorkerProtocol;

/** A worker or another gateway that responds frame by frame as a test scripts it. */
final class FakePeer implements AutoCloseable {
    /** A received request, with the ways to respond to it. */
    final class ReceivedRequest {
        final Http2Headers headers;
        private final ChannelHandlerContext ctx;
        private final Http2FrameStream stream;

        private ReceivedRequest(ChannelHandlerContext ctx, Http2FrameStream stream, Http2Headers headers) {
            this.ctx = ctx;
            this.stream = stream;
            this.headers = headers;
        }

        int streamId() {
            return stream.id();
        }

        void respond(AnswerCode code, CopyNote note, String body) {
            sendHeaders(code, note, false);
            sendData(body, true);
        }

        void sendHeaders(AnswerCode code, CopyNote note, boolean end) {
            Http2Headers head = new DefaultHttp2Headers()
                    .status(Integer.toString(code.status()))
                    .set(WorkerProtocol.OUTCOME, code.word())
                    .set(WorkerProtocol.NOTE, note.word())
                    .set(WorkerProtocol.REPORT, "rif:1,x0:0.5")
                    .setInt(WorkerProtocol.COUNT, 1);
            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(head, end).stream(stream));
        }

        void sendData(String text, boolean end) {
            ctx.writeAndFlush(
                    new DefaultHttp2DataFrame(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), end).stream(stream));
        }

        /** Sends parts of 64 KB until the stream ends; each is written when the receiver's flow-control windows allow it. */
        void flood(int parts) {
            if (parts > 0 && ctx.channel().isActive()) {
                ctx.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[1 << 16]), false)
                                .stream(stream))
                        .addListener(done -> {
                            floodedParts++;
                            if (done.isSuccess()) {
                                flood(parts - 1);
                            }
                        });
            }
        }

        void reset(Http2Error error) {
            ctx.writeAndFlush(new DefaultHttp2ResetFrame(error).stream(stream));
        }

        void schedule(long ms, Runnable task) {
            ctx.executor().schedule(task, ms, TimeUnit.MILLISECONDS);
        }

        void closeConnection() {
            ctx.close();
        }

        /** Sends a GOAWAY frame as raw bytes, since the codec only sends one that covers all streams it has seen. */
        void goAway(int lastStream) {
            ByteBuf frame = Unpooled.buffer()
                    .writeMedium(8)
                    .writeByte(7)
                    .writeByte(0)
                    .writeInt(0)
                    .writeInt(lastStream)
                    .writeInt(0);
            ctx.writeAndFlush(frame);
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel serverChannel;
    private final BlockingQueue<ReceivedRequest> calls = new LinkedBlockingQueue<>();
    private final List<Channel> heldChannels = new CopyOnWriteArrayList<>();
    final BlockingQueue<Integer> resets = new LinkedBlockingQueue<>();
    final BlockingQueue<ReceivedRequest> nonCalls = new LinkedBlockingQueue<>();
    private final Consumer<ReceivedRequest> script;
    volatile boolean holdHandshakes;
    volatile boolean ignoreNonCalls;
    volatile int floodedParts;

    /** Responds to each call with {@code script}; if it is null, the test takes the calls with {@link #next} and responds itself. */
    FakePeer(Consumer<ReceivedRequest> script) {
        this(0, script);
    }

    FakePeer(int port, Consumer<ReceivedRequest> script) {
        this.script = script;
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (holdHandshakes) {
                            channel.config().setAutoRead(false);
                            heldChannels.add(channel);
                        } else {
                            addHttp2Handlers(channel);
                        }
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    private void addHttp2Handlers(Channel channel) {
        channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings())
                                .build(),
                        new FrameHandler());
    }

    String id() {
        return "127.0.0.1:" + port();
    }

    int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Returns the next call; fails if none arrives within 5 s. */
    ReceivedRequest next() throws InterruptedException {
        ReceivedRequest request = calls.poll(5, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no call within 5 s at " + id());
        }
        return request;
    }

    /** Returns the next call that arrives within a time, or null. */
    ReceivedRequest poll(long ms) throws InterruptedException {
        return calls.poll(ms, TimeUnit.MILLISECONDS);
    }

    boolean receivesNoCallWithin(long ms) throws InterruptedException {
        return calls.poll(ms, TimeUnit.MILLISECONDS) == null;
    }

    int heldHandshakes() {
        return heldChannels.size();
    }

    void releaseHandshakes() {
        holdHandshakes = false;
        heldChannels.forEach(channel -> channel.eventLoop().execute(() -> {
            addHttp2Handlers(channel);
            channel.config().setAutoRead(true);
        }));
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class FrameHandler extends ChannelInboundHandlerAdapter {
        private final java.util.Map<Http2FrameStream, Http2Headers> headersByStream = new java.util.HashMap<>();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof Http2HeadersFrame frame) {
                headersByStream.put(frame.stream(), frame.headers());
                if (frame.isEndStream()) {
                    onRequestReceived(ctx, frame.stream());
                }
            } else if (message instanceof Http2DataFrame frame && frame.isEndStream()) {
                onRequestReceived(ctx, frame.stream());
            } else if (message instanceof Http2ResetFrame frame) {
                resets.add(frame.stream().id());
            }
            ReferenceCountUtil.release(message);
        }

        private void onRequestReceived(ChannelHandlerContext ctx, Http2FrameStream stream) {
            ReceivedRequest request = new ReceivedRequest(ctx, stream, headersByStream.remove(stream));
            String path = request.headers.path().toString();
            boolean isCall = path.startsWith(WorkerProtocol.CALL_PATH)
                    || path.startsWith(ClientProtocol.CALL_PATH)
                    || path.startsWith("/wharfhinge.v1."); // a scripted gateway over gRPC
            if (!isCall) {
                nonCalls.add(request);
                if (ignoreNonCalls) {
                    return;
                }
                request.sendHeaders(AnswerCode.SERVED, CopyNote.NONE, true);
            } else if (script == null) {
                calls.add(request);
            } else {
                calls.add(request);
                script.accept(request);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}

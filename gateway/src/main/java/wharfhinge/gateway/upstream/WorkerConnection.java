package wharfhinge.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.DefaultHttp2WindowUpdateFrame;
import io.netty.handler.codec.http2.Http2ChannelDuplexHandler;
import io.netty.handler.codec.http2.Http2Connection;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2FrameStreamEvent;
import io.netty.handler.codec.http2.Http2FrameStreamException;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2SettingsFrame;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One HTTP/2 connection to a worker: streams out, answers in. Lives on one event loop. */
final class WorkerConnection extends Http2ChannelDuplexHandler {
    private static final int CONNECTION_WINDOW = 1 << 20;

    private final WorkerPool pool;
    private final int mostStreams;
    private final int mostAnswerBytes;
    private final Map<Http2FrameStream, Exchange> open = new HashMap<>();
    private ChannelHandlerContext ctx;
    private long remoteMostStreams = Long.MAX_VALUE;
    private boolean established;
    private boolean leaving;
    private long idleSince;

    WorkerConnection(WorkerPool pool, int mostStreams, int mostAnswerBytes) {
        this.pool = pool;
        this.mostStreams = mostStreams;
        this.mostAnswerBytes = mostAnswerBytes;
    }

    @Override
    protected void handlerAdded0(ChannelHandlerContext context) {
        ctx = context;
        idleSince = System.nanoTime();
    }

    boolean established() {
        return established;
    }

    boolean hasRoom() {
        return established
                && !leaving
                && ctx.channel().isActive()
                && open.size() < Math.min(mostStreams, remoteMostStreams);
    }

    int load() {
        return open.size();
    }

    /** How long it has carried nothing, in nanoseconds; 0 while it carries something. */
    long idleNanos() {
        return open.isEmpty() ? System.nanoTime() - idleSince : 0;
    }

    void close() {
        ctx.close();
    }

    void execute(Runnable what) {
        ctx.executor().execute(what);
    }

    /** Sends an exchange; from here on only what the wire proves says that it never ran. */
    void open(Exchange exchange) {
        Http2FrameStream stream = newStream();
        exchange.connection = this;
        exchange.stream = stream;
        open.put(stream, exchange);
        ByteBuf body = exchange.takeBody();
        boolean bare = body == null || !body.isReadable();
        ctx.write(new DefaultHttp2HeadersFrame(exchange.request, bare).stream(stream))
                .addListener(written -> {
                    if (!written.isSuccess()) {
                        ended(exchange, Ending.NOT_WRITTEN);
                    }
                });
        if (bare) {
            ReferenceCountUtil.release(body);
        } else {
            ctx.write(new DefaultHttp2DataFrame(body, true).stream(stream));
        }
        ctx.flush();
    }

    /** Resets the stream of an exchange that is not over. */
    void cancel(Exchange exchange) {
        if (open.containsKey(exchange.stream)) {
            reset(exchange);
            remove(exchange);
        }
        exchange.close();
    }

    /** A streamed part went on its way: as much more may come. */
    void taken(Exchange exchange, int bytes) {
        if (open.containsKey(exchange.stream) && ctx.channel().isActive()) {
            ctx.writeAndFlush(new DefaultHttp2WindowUpdateFrame(bytes).stream(exchange.stream));
        }
    }

    private void reset(Exchange exchange) {
        if (ctx.channel().isActive()) {
            ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL).stream(exchange.stream));
        }
    }

    private void remove(Exchange exchange) {
        open.remove(exchange.stream);
        idleSince = System.nanoTime();
        if (leaving && open.isEmpty()) {
            ctx.close();
        }
        pool.roomMade();
    }

    private void ended(Exchange exchange, Ending ending) {
        if (open.containsKey(exchange.stream)) {
            exchange.end(ending);
            remove(exchange);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Http2Exception {
        try {
            if (message instanceof Http2HeadersFrame frame) {
                headers(frame);
            } else if (message instanceof Http2DataFrame frame) {
                data(frame);
            } else if (message instanceof Http2ResetFrame frame) {
                Exchange exchange = open.get(frame.stream());
                if (exchange != null) {
                    ended(
                            exchange,
                            frame.errorCode() == Http2Error.REFUSED_STREAM.code()
                                    ? Ending.STREAM_REFUSED
                                    : Ending.STREAM_RESET);
                }
            } else if (message instanceof Http2GoAwayFrame frame) {
                goAway(frame.lastStreamId());
            } else if (message instanceof Http2SettingsFrame frame) {
                settings(frame);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void headers(Http2HeadersFrame frame) {
        Exchange exchange = open.get(frame.stream());
        if (exchange == null) {
            return;
        }
        exchange.headers(frame.headers());
        if (frame.isEndStream()) {
            ended(exchange, Ending.ANSWERED);
        } else if (exchange.streamable()) {
            exchange.beginStream();
        }
    }

    private void data(Http2DataFrame frame) {
        Exchange exchange = open.get(frame.stream());
        int bytes = frame.initialFlowControlledBytes();
        if (exchange != null && exchange.workerStream != null) {
            exchange.workerStream.data(frame.content().retain());
            int padding = bytes - frame.content().readableBytes();
            if (padding > 0) {
                taken(exchange, padding);
            }
        } else {
            // also for streams no longer known: the connection's window must not shrink
            ctx.write(new DefaultHttp2WindowUpdateFrame(bytes).stream(frame.stream()));
            if (exchange != null && !exchange.keep(frame.content().retain(), mostAnswerBytes)) {
                reset(exchange);
                ended(exchange, Ending.TOO_LARGE);
                return;
            }
        }
        if (exchange != null && frame.isEndStream()) {
            ended(exchange, Ending.ANSWERED);
        }
    }

    private void goAway(int lastStream) {
        leaving = true;
        for (Exchange exchange : List.copyOf(open.values())) {
            if (exchange.stream.id() > lastStream) {
                ended(exchange, Ending.GONE_AWAY);
            }
        }
        if (open.isEmpty()) {
            ctx.close();
        }
        pool.roomMade();
    }

    private void settings(Http2SettingsFrame frame) throws Http2Exception {
        Long most = frame.settings().maxConcurrentStreams();
        remoteMostStreams = most == null ? remoteMostStreams : most;
        if (!established) {
            established = true;
            Http2Connection connection =
                    ctx.pipeline().get(Http2FrameCodec.class).connection();
            connection.local().flowController().incrementWindowSize(connection.connectionStream(), CONNECTION_WINDOW);
            ctx.flush();
            pool.established();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof Http2FrameStreamEvent change && change.type() == Http2FrameStreamEvent.Type.State) {
            Exchange exchange = open.get(change.stream());
            if (exchange != null && change.stream().state() == io.netty.handler.codec.http2.Http2Stream.State.CLOSED) {
                // the frame that closed it is handed on after this event; what still is open then has lost its stream
                execute(() -> ended(exchange, Ending.STREAM_RESET));
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        for (Exchange exchange : new ArrayList<>(open.values())) {
            ended(exchange, Ending.CONNECTION_LOST);
        }
        pool.lost(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof Http2FrameStreamException e) {
            Exchange exchange = open.get(e.stream());
            if (exchange != null) {
                reset(exchange);
                ended(exchange, Ending.STREAM_RESET);
            }
            return;
        }
        context.close(); // what is open ends as lost
    }
}

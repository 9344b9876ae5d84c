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
import io.netty.handler.codec.http2.Http2Stream;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One HTTP/2 connection to a worker, with one stream per exchange. Confined to its pool's event loop. */
final class WorkerConnection extends Http2ChannelDuplexHandler {
    private static final int CONNECTION_WINDOW_INCREMENT_BYTES = 1 << 20;

    private final WorkerConnectionPool pool;
    private final int maxStreams;
    private final int maxResponseBytes;
    private final Map<Http2FrameStream, Exchange> open = new HashMap<>();
    private ChannelHandlerContext ctx;
    private long remoteMaxStreams = Long.MAX_VALUE;
    private boolean established;
    private boolean goingAway;
    private long idleSince;

    WorkerConnection(WorkerConnectionPool pool, int maxStreams, int maxResponseBytes) {
        this.pool = pool;
        this.maxStreams = maxStreams;
        this.maxResponseBytes = maxResponseBytes;
    }

    @Override
    protected void handlerAdded0(ChannelHandlerContext context) {
        ctx = context;
        idleSince = System.nanoTime();
    }

    boolean isEstablished() {
        return established;
    }

    boolean hasCapacity() {
        return established
                && !goingAway
                && ctx.channel().isActive()
                && open.size() < Math.min(maxStreams, remoteMaxStreams);
    }

    int activeStreams() {
        return open.size();
    }

    /** How long the connection has had no active stream, in nanoseconds; 0 while it has one. */
    long idleNanos() {
        return open.isEmpty() ? System.nanoTime() - idleSince : 0;
    }

    void close() {
        ctx.close();
    }

    void execute(Runnable task) {
        ctx.executor().execute(task);
    }

    /** Sends an exchange; from here on only its end on the wire can prove that the call was not executed. */
    void open(Exchange exchange) {
        Http2FrameStream stream = newStream();
        exchange.onSent(this, stream);
        open.put(stream, exchange);
        ByteBuf body = exchange.takeBody();
        boolean isBodyEmpty = body == null || !body.isReadable();
        ctx.write(new DefaultHttp2HeadersFrame(exchange.request(), isBodyEmpty).stream(stream))
                .addListener(written -> {
                    if (!written.isSuccess()) {
                        complete(exchange, AttemptOutcomeMapping.WRITE_FAILED);
                    }
                });
        if (isBodyEmpty) {
            ReferenceCountUtil.release(body);
        } else {
            ctx.write(new DefaultHttp2DataFrame(body, true).stream(stream));
        }
        ctx.flush();
    }

    /** Resets the stream of an exchange that has not ended. */
    void cancel(Exchange exchange) {
        if (open.containsKey(exchange.stream())) {
            reset(exchange);
            remove(exchange);
        }
        exchange.discard();
    }

    /** Extends the stream's flow-control window by bytes that were consumed. */
    void onPartConsumed(Exchange exchange, int bytes) {
        if (open.containsKey(exchange.stream()) && ctx.channel().isActive()) {
            ctx.writeAndFlush(new DefaultHttp2WindowUpdateFrame(bytes).stream(exchange.stream()));
        }
    }

    private void reset(Exchange exchange) {
        if (ctx.channel().isActive()) {
            ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL).stream(exchange.stream()));
        }
    }

    private void remove(Exchange exchange) {
        open.remove(exchange.stream());
        idleSince = System.nanoTime();
        if (goingAway && open.isEmpty()) {
            ctx.close();
        }
        pool.onStreamClosed();
    }

    private void complete(Exchange exchange, AttemptOutcomeMapping end) {
        if (open.containsKey(exchange.stream())) {
            exchange.complete(end);
            remove(exchange);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Http2Exception {
        try {
            if (message instanceof Http2HeadersFrame frame) {
                onHeaders(frame);
            } else if (message instanceof Http2DataFrame frame) {
                onData(frame);
            } else if (message instanceof Http2ResetFrame frame) {
                onReset(frame);
            } else if (message instanceof Http2GoAwayFrame frame) {
                onGoAway(frame.lastStreamId());
            } else if (message instanceof Http2SettingsFrame frame) {
                onSettings(frame);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHeaders(Http2HeadersFrame frame) {
        Exchange exchange = open.get(frame.stream());
        if (exchange == null) {
            return;
        }
        exchange.onHeaders(frame.headers());
        if (frame.isEndStream()) {
            complete(exchange, AttemptOutcomeMapping.RESPONSE_RECEIVED);
        } else if (exchange.shouldStartStream()) {
            exchange.startStream();
        }
    }

    private void onData(Http2DataFrame frame) {
        Exchange exchange = open.get(frame.stream());
        int bytes = frame.initialFlowControlledBytes();
        if (exchange != null && exchange.responseStream() != null) {
            exchange.responseStream().onData(frame.content().retain());
            int padding = bytes - frame.content().readableBytes();
            if (padding > 0) {
                onPartConsumed(exchange, padding);
            }
        } else {
            // also for streams that have ended, else the connection's flow-control window would shrink
            ctx.write(new DefaultHttp2WindowUpdateFrame(bytes).stream(frame.stream()));
            if (exchange != null && !exchange.appendBody(frame.content().retain(), maxResponseBytes)) {
                reset(exchange);
                complete(exchange, AttemptOutcomeMapping.RESPONSE_TOO_LARGE);
                return;
            }
        }
        if (exchange != null && frame.isEndStream()) {
            complete(exchange, AttemptOutcomeMapping.RESPONSE_RECEIVED);
        }
    }

    private void onReset(Http2ResetFrame frame) {
        Exchange exchange = open.get(frame.stream());
        if (exchange != null) {
            boolean refused = frame.errorCode() == Http2Error.REFUSED_STREAM.code();
            complete(exchange, refused ? AttemptOutcomeMapping.STREAM_REFUSED : AttemptOutcomeMapping.STREAM_RESET);
        }
    }

    private void onGoAway(int lastStream) {
        goingAway = true;
        for (Exchange exchange : List.copyOf(open.values())) {
            if (exchange.stream().id() > lastStream) {
                complete(exchange, AttemptOutcomeMapping.GOAWAY_RECEIVED);
            }
        }
        if (open.isEmpty()) {
            ctx.close();
        }
        pool.onStreamClosed();
    }

    private void onSettings(Http2SettingsFrame frame) throws Http2Exception {
        Long announced = frame.settings().maxConcurrentStreams();
        remoteMaxStreams = announced == null ? remoteMaxStreams : announced;
        if (!established) {
            established = true;
            Http2Connection connection =
                    ctx.pipeline().get(Http2FrameCodec.class).connection();
            connection
                    .local()
                    .flowController()
                    .incrementWindowSize(connection.connectionStream(), CONNECTION_WINDOW_INCREMENT_BYTES);
            ctx.flush();
            pool.onConnectionEstablished();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof Http2FrameStreamEvent change && change.type() == Http2FrameStreamEvent.Type.State) {
            Exchange exchange = open.get(change.stream());
            if (exchange != null && change.stream().state() == Http2Stream.State.CLOSED) {
                // the frame that closed the stream arrives after this event; an exchange still open then was reset
                execute(() -> complete(exchange, AttemptOutcomeMapping.STREAM_RESET));
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
            complete(exchange, AttemptOutcomeMapping.CONNECTION_LOST);
        }
        pool.onConnectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof Http2FrameStreamException e) {
            Exchange exchange = open.get(e.stream());
            if (exchange != null) {
                reset(exchange);
                complete(exchange, AttemptOutcomeMapping.STREAM_RESET);
            }
            return;
        }
        context.close(); // open exchanges end as CONNECTION_LOST
    }
}

package wharfhinge.gateway.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.EndpointSource;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.ProtocolException;
import wharfhinge.protocol.RosterDecoder;
import wharfhinge.protocol.RosterFrame;
import wharfhinge.protocol.RosterProtocol;

/**
 * Watches the endpoint service (docs/protocol-roster.md) over HTTP. It reads one stream of revisions and reconnects after a backoff if the
 * stream ends, times out or is malformed. Without a stream, the list last received stays valid.
 *
 * <p>All state is confined to one event loop, on which the public methods enqueue their work.
 */
public final class HttpEndpointSource implements EndpointSource {
    private static final Logger LOG = LoggerFactory.getLogger(HttpEndpointSource.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int MAX_BACKOFF_DOUBLINGS = 20;

    /** The content that a stream is requested to start with. */
    private enum StreamStart {
        FULL_LIST,
        CHANGES_SINCE_REVISION
    }

    private final GatewayConfig config;
    private final EventLoop eventLoop;
    private final Bootstrap bootstrap;
    private final Random random;
    private final EndpointListView view = new EndpointListView();
    private Consumer<EndpointUpdate> listener = update -> {};
    private Channel channel; // null without a stream
    private boolean watching;
    private boolean responseExpected; // by watch or refresh
    private StreamStart streamStart = StreamStart.FULL_LIST;
    private int consecutiveFailures;

    /** Uses one event loop of {@code group}, which the caller shuts down. */
    public HttpEndpointSource(GatewayConfig config, EventLoopGroup group, Class<? extends Channel> type) {
        this.config = config;
        this.eventLoop = group.next();
        this.random = new Random(config.seed());
        this.bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(type)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .remoteAddress(
                        config.endpointSource().host(), config.endpointSource().port());
    }

    @Override
    public void start(Consumer<EndpointUpdate> updates) {
        eventLoop.execute(() -> {
            listener = updates;
            if (config.dispatcherSettings().discovery() == Discovery.PUSHED) {
                watching = true;
                connect(StreamStart.FULL_LIST);
            }
        });
    }

    /** {@inheritDoc} A new watch starts with the full list. */
    @Override
    public void watch(boolean enabled) {
        eventLoop.execute(() -> {
            watching = enabled;
            closeStream();
            if (enabled) {
                responseExpected = true;
                long delayNanos = consecutiveFailures == 0 ? 0 : nextBackoffNanos();
                eventLoop.schedule(() -> connect(StreamStart.FULL_LIST), delayNanos, TimeUnit.NANOSECONDS);
            }
        });
    }

    @Override
    public void refresh() {
        eventLoop.execute(() -> {
            responseExpected = true;
            if (channel == null) {
                connect(StreamStart.FULL_LIST);
            } else {
                streamStart = StreamStart.FULL_LIST;
                channel.close(); // the next stream starts with the full list
            }
        });
    }

    @Override
    public void close() {
        eventLoop.execute(() -> {
            watching = false;
            responseExpected = false;
            closeStream();
        });
    }

    private void closeStream() {
        if (channel != null) {
            channel.close();
        }
    }

    private void connect(StreamStart start) {
        if (channel != null && channel.isOpen()) {
            return;
        }
        streamStart = view.hasRevision() ? start : StreamStart.FULL_LIST;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        initPipeline(newChannel);
                    }
                })
                .connect();
        // If no socket can be created (EMFILE, ENFILE, ENOBUFS), there is no channel to close, and the failure is
        // reported on another thread.
        channel = connecting.channel().isRegistered() ? connecting.channel() : null;
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                eventLoop.execute(() -> onConnectFailed(connected.cause()));
            }
        });
    }

    private void onConnectFailed(Throwable cause) {
        LOG.warn("{}: connect failed: {}", this, cause.getMessage());
        onStreamEnded();
    }

    private void initPipeline(Channel newChannel) {
        ReadTimeoutHandler readTimeout =
                new ReadTimeoutHandler(config.endpointSource().silenceTimeoutNanos(), TimeUnit.NANOSECONDS);
        newChannel.pipeline().addLast(new HttpClientCodec(), readTimeout, new StreamHandler());
    }

    /** Returns an exponential backoff up to the configured maximum, reduced by a random share of up to one half. */
    private long nextBackoffNanos() {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, consecutiveFailures - 1));
        long exponentialNanos = config.endpointSource().minReconnectNanos() << doublings;
        long boundedNanos = Math.min(config.endpointSource().maxReconnectNanos(), exponentialNanos);
        return (long) (boundedNanos * (0.5 + random.nextDouble() / 2));
    }

    private void onStreamEnded() {
        channel = null;
        consecutiveFailures++;
        if (responseExpected && config.dispatcherSettings().discovery() == Discovery.ON_REQUEST) {
            responseExpected = false;
            watching = false;
            listener.accept(new EndpointUpdate(EndpointUpdateMode.REJECTED, Math.max(0, view.revision()), List.of()));
        } else if (watching) {
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        StreamStart start = streamStart;
        eventLoop.schedule(
                () -> {
                    if (watching) {
                        connect(start);
                    }
                },
                nextBackoffNanos(),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public String toString() {
        return "endpoint service " + config.endpointSource().host() + ':'
                + config.endpointSource().port();
    }

    /** Handles one stream: sends the request, decodes the frames and reports the end of the stream. */
    private final class StreamHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final RosterDecoder decoder = new RosterDecoder();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String query = streamStart == StreamStart.FULL_LIST ? "" : RosterProtocol.FROM_PARAMETER + view.revision();
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, RosterProtocol.WATCH_PATH + query);
            request.headers()
                    .set(HttpHeaderNames.HOST, config.endpointSource().host())
                    .set(RosterProtocol.GATEWAY, config.name());
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws ProtocolException {
            if (message instanceof HttpResponse response && response.status().code() != HttpResponseStatus.OK.code()) {
                throw new ProtocolException("status", response.status().toString(), "200");
            }
            if (message instanceof HttpContent content) {
                decoder.decode(content.content(), frame -> onFrame(ctx, frame));
                if (message instanceof LastHttpContent) {
                    ctx.close();
                }
            }
        }

        private void onFrame(ChannelHandlerContext ctx, RosterFrame frame) {
            consecutiveFailures = 0;
            EndpointListView.FrameResult result = view.apply(frame);
            if (frame.kind() == RosterFrame.Kind.ALL) {
                streamStart = StreamStart.CHANGES_SINCE_REVISION;
            }
            if (result.requestsFullList()) {
                LOG.info(
                        "{}: gap after revision {}, requesting the full list",
                        HttpEndpointSource.this,
                        view.revision());
                streamStart = StreamStart.FULL_LIST;
                ctx.close();
            }
            result.update().ifPresent(update -> {
                responseExpected = false;
                listener.accept(update);
                if (!watching) {
                    ctx.close(); // only one response was requested
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("{}: stream failed: {}", HttpEndpointSource.this, cause.toString());
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onStreamEnded();
        }
    }
}

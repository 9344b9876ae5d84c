package wharfhinge.gateway.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
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
 * A roster over HTTP: one stream of revisions, opened again whenever it ends, is silent or makes no sense. All of it
 * runs on one event loop. While no stream stands, the list held goes on to hold.
 */
public final class HttpRoster implements EndpointSource {
    private static final Logger LOG = LoggerFactory.getLogger(HttpRoster.class);

    private final GatewayConfig config;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Random random;
    private final RosterView view = new RosterView();
    private Consumer<EndpointUpdate> updates = update -> {};
    private Channel channel;
    private boolean wanted;
    private boolean whole = true;
    private boolean answerOwed;
    private int failures;

    /** Uses one event loop of {@code group}, which stays the caller's. */
    public HttpRoster(GatewayConfig config, EventLoopGroup group, Class<? extends Channel> type) {
        this.config = config;
        this.loop = group.next();
        this.random = new Random(config.seed());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(type)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .remoteAddress(config.roster().host(), config.roster().port());
    }

    @Override
    public void start(Consumer<EndpointUpdate> to) {
        loop.execute(() -> {
            updates = to;
            if (config.settings().discovery() == Discovery.PUSHED) {
                wanted = true;
                connect(true);
            }
        });
    }

    /** On subscribing anew, the whole list answers. */
    @Override
    public void watch(boolean on) {
        loop.execute(() -> {
            wanted = on;
            if (channel != null) {
                channel.close();
            }
            if (on) {
                answerOwed = true;
                loop.schedule(() -> connect(true), failures == 0 ? 0 : pause(), TimeUnit.NANOSECONDS);
            }
        });
    }

    @Override
    public void refresh() {
        loop.execute(() -> {
            answerOwed = true;
            if (channel != null) {
                whole = true;
                channel.close(); // the stream is opened anew, and begins with the whole list
            } else {
                connect(true);
            }
        });
    }

    private void connect(boolean all) {
        if (channel != null && channel.isOpen()) {
            return;
        }
        whole = all || view.held() < 0;
        channel = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new ReadTimeoutHandler(
                                                config.roster().silentAfterNanos(), TimeUnit.NANOSECONDS),
                                        new Frames());
                    }
                })
                .connect()
                .addListener((io.netty.channel.ChannelFuture done) -> {
                    if (!done.isSuccess()) {
                        LOG.warn(
                                "roster {}:{} not reached: {}",
                                config.roster().host(),
                                config.roster().port(),
                                done.cause().getMessage());
                        ended();
                    }
                })
                .channel();
    }

    private long pause() {
        long most = config.roster().reconnectMostNanos();
        long base = Math.min(most, config.roster().reconnectLeastNanos() << Math.min(20, Math.max(0, failures - 1)));
        return (long) (base * (0.5 + random.nextDouble() / 2));
    }

    private void ended() {
        channel = null;
        failures++;
        if (answerOwed && config.settings().discovery() == Discovery.ON_REQUEST) {
            answerOwed = false;
            wanted = false;
            updates.accept(new EndpointUpdate(EndpointUpdateMode.REJECTED, Math.max(0, view.held()), List.of()));
        } else if (wanted) {
            boolean all = whole;
            loop.schedule(
                    () -> {
                        if (wanted) {
                            connect(all);
                        }
                    },
                    pause(),
                    TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void close() {
        loop.execute(() -> {
            wanted = false;
            answerOwed = false;
            if (channel != null) {
                channel.close();
            }
        });
    }

    private final class Frames extends SimpleChannelInboundHandler<HttpObject> {
        private final RosterDecoder decoder = new RosterDecoder();

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            String path = RosterProtocol.WATCH_PATH + (whole ? "" : RosterProtocol.FROM_PARAMETER + view.held());
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers()
                    .set(HttpHeaderNames.HOST, config.roster().host())
                    .set(RosterProtocol.GATEWAY, config.name());
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws ProtocolException {
            if (message instanceof HttpResponse response && response.status().code() != 200) {
                throw new ProtocolException("roster's status", response.status().toString(), "200");
            }
            if (message instanceof HttpContent content) {
                decoder.decode(content.content(), frame -> take(ctx, frame));
                if (message instanceof LastHttpContent) {
                    ctx.close();
                }
            }
        }

        private void take(ChannelHandlerContext ctx, RosterFrame frame) {
            failures = 0;
            RosterView.Step step = view.take(frame);
            whole &= frame.kind() != RosterFrame.Kind.ALL;
            if (step.askWhole()) {
                LOG.info("roster: a gap after revision {}, the whole list is asked for", view.held());
                whole = true;
                ctx.close();
            }
            step.update().ifPresent(update -> {
                answerOwed = false;
                updates.accept(update);
                if (!wanted) {
                    ctx.close(); // asked for once only
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.warn("roster's stream ends: {}", cause.toString());
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended();
        }
    }
}

package wharfhinge.worker.store;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultFileRegion;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import wharfhinge.worker.pack.Digests;

/**
 * Serves {@code NAME.pkg} files of a folder as {@code /packages/NAME}: whole or a range, with the file's SHA-256 as its
 * strong entity tag, which a worker also checks what it got against. Past the set number of fetches in hand it turns away
 * with 503 and {@code Retry-After}, so that those in hand go on at their pace. A file replaced by a rename while it is
 * fetched goes on as it was.
 */
public final class Store implements AutoCloseable {
    /** Where packages are found. */
    public static final String PATH = "/packages/";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_-][A-Za-z0-9._-]{0,127}");
    private static final int IDLE_S = 30;
    private static final int TAGS = 1024;

    private record Tag(long size, long modified, String sha256) {}

    private final Path folder;
    private final int most;
    private final AtomicInteger inHand = new AtomicInteger();
    private final Channel listening;
    private final Map<Path, Tag> tags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Path, Tag> eldest) {
            return size() > TAGS;
        }
    };

    /** Listens on loopback; port 0 takes any. {@code group} stays the caller's. */
    public Store(EventLoopGroup group, int port, Path folder, int most) {
        this.folder = folder;
        this.most = most;
        this.listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(0, 0, IDLE_S),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(1024),
                                        new Fetches());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    /** Where it listens. */
    public int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    @Override
    public void close() {
        listening.close().syncUninterruptibly();
    }

    /** A file's digest; computed once for each state of it. */
    private String sha256(Path file, long size, long modified) throws IOException {
        synchronized (tags) {
            Tag known = tags.get(file);
            if (known != null && known.size == size && known.modified == modified) {
                return known.sha256;
            }
        }
        MessageDigest digest = Digests.sha256();
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), digest)) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
        }
        String hex = Digests.hex(digest.digest());
        synchronized (tags) {
            tags.put(file, new Tag(size, modified, hex));
        }
        return hex;
    }

    private final class Fetches extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean counted;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            String name = request.uri().startsWith(PATH) ? request.uri().substring(PATH.length()) : "";
            Path file = folder.resolve(name + ".pkg");
            boolean read =
                    request.method().equals(HttpMethod.GET) || request.method().equals(HttpMethod.HEAD);
            if (!read) {
                empty(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, null);
            } else if (!NAME.matcher(name).matches() || !Files.isRegularFile(file)) {
                empty(ctx, HttpResponseStatus.NOT_FOUND, null);
            } else if (inHand.incrementAndGet() > most) {
                inHand.decrementAndGet();
                DefaultFullHttpResponse away = response(HttpResponseStatus.SERVICE_UNAVAILABLE);
                away.headers().setInt(HttpHeaderNames.RETRY_AFTER, 1);
                ctx.writeAndFlush(away);
            } else {
                counted = true;
                serve(ctx, request, file.toFile());
            }
        }

        private void serve(ChannelHandlerContext ctx, FullHttpRequest request, File file) throws IOException {
            String tag = '"' + sha256(file.toPath(), file.length(), file.lastModified()) + '"';
            String known = request.headers().get(HttpHeaderNames.IF_NONE_MATCH);
            if (known != null && (known.equals("*") || known.contains(tag))) {
                over();
                empty(ctx, HttpResponseStatus.NOT_MODIFIED, tag);
                return;
            }
            long size = file.length();
            String condition = request.headers().get(HttpHeaderNames.IF_RANGE);
            boolean same = condition == null || condition.equals(tag);
            ByteRange range =
                    same ? ByteRange.parse(request.headers().get(HttpHeaderNames.RANGE), size) : ByteRange.WHOLE;
            if (range == ByteRange.BEYOND) {
                over();
                DefaultFullHttpResponse beyond = response(HttpResponseStatus.REQUESTED_RANGE_NOT_SATISFIABLE);
                beyond.headers()
                        .set(HttpHeaderNames.CONTENT_RANGE, "bytes */" + size)
                        .set(HttpHeaderNames.ETAG, tag);
                ctx.writeAndFlush(beyond);
                return;
            }
            boolean part = range != ByteRange.WHOLE;
            long from = part ? range.from() : 0;
            long length = part ? range.length() : size;
            HttpResponse head = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, part ? HttpResponseStatus.PARTIAL_CONTENT : HttpResponseStatus.OK);
            head.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, length)
                    .set(HttpHeaderNames.ETAG, tag)
                    .set(HttpHeaderNames.ACCEPT_RANGES, "bytes");
            if (part) {
                head.headers().set(HttpHeaderNames.CONTENT_RANGE, "bytes " + from + '-' + range.to() + '/' + size);
            }
            ctx.write(head);
            if (!request.method().equals(HttpMethod.HEAD) && length > 0) {
                ctx.write(new DefaultFileRegion(file, from, length));
            }
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
                over();
                if (!done.isSuccess()) {
                    ctx.close();
                }
            });
        }

        private void over() {
            if (counted) {
                counted = false;
                inHand.decrementAndGet();
            }
        }

        private DefaultFullHttpResponse response(HttpResponseStatus status) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
            if (!status.equals(HttpResponseStatus.NOT_MODIFIED)) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            }
            return response;
        }

        private void empty(ChannelHandlerContext ctx, HttpResponseStatus status, String tag) {
            DefaultFullHttpResponse response = response(status);
            if (tag != null) {
                response.headers().set(HttpHeaderNames.ETAG, tag);
            }
            ctx.writeAndFlush(response);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                ctx.close(); // also one that takes nothing of what it asked for
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            over();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}

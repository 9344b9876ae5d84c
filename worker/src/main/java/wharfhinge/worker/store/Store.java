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
 * Serves the {@code NAME.pkg} files of a folder as {@code /packages/NAME}, whole or as a range. The strong entity tag is the
 * SHA-256 of the file, which workers also use to verify what they fetched. Fetches beyond the maximum in progress are rejected
 * with 503 and {@code Retry-After}, so that they do not slow down the others. If a file is replaced by a rename during a
 * fetch, the fetch continues with the old file.
 */
public final class Store implements AutoCloseable {
    /** Path prefix of packages. */
    public static final String PATH = "/packages/";

    private static final Pattern PACKAGE_NAME = Pattern.compile("[A-Za-z0-9_-][A-Za-z0-9._-]{0,127}");
    private static final int IDLE_TIMEOUT_S = 30;
    private static final int MAX_CACHED_TAGS = 1024;

    private record EntityTag(long size, long modified, String sha256) {}

    private final Path folder;
    private final int maxFetches;
    private final AtomicInteger fetchesInProgress = new AtomicInteger();
    private final Channel listenChannel;
    private final Map<Path, EntityTag> tags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Path, EntityTag> eldest) {
            return size() > MAX_CACHED_TAGS;
        }
    };

    /** Listens on loopback; port 0 takes any free port. The caller shuts down {@code group}. */
    public Store(EventLoopGroup group, int port, Path folder, int maxFetches) {
        this.folder = folder;
        this.maxFetches = maxFetches;
        this.listenChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(0, 0, IDLE_TIMEOUT_S),
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(1024),
                                        new FetchHandler());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    /** The port that the store listens on. */
    public int port() {
        return ((InetSocketAddress) listenChannel.localAddress()).getPort();
    }

    @Override
    public void close() {
        listenChannel.close().syncUninterruptibly();
    }

    /** The digest of a file, cached until its size or modification time changes. */
    private String sha256(Path file, long size, long modified) throws IOException {
        synchronized (tags) {
            EntityTag cachedTag = tags.get(file);
            if (cachedTag != null && cachedTag.size == size && cachedTag.modified == modified) {
                return cachedTag.sha256;
            }
        }
        MessageDigest digest = Digests.sha256();
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), digest)) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
        }
        String hex = Digests.hex(digest.digest());
        synchronized (tags) {
            tags.put(file, new EntityTag(size, modified, hex));
        }
        return hex;
    }

    private final class FetchHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean isInProgress;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) throws IOException {
            String name = request.uri().startsWith(PATH) ? request.uri().substring(PATH.length()) : "";
            Path file = folder.resolve(name + ".pkg");
            boolean isRead =
                    request.method().equals(HttpMethod.GET) || request.method().equals(HttpMethod.HEAD);
            if (!isRead) {
                writeEmpty(context, HttpResponseStatus.METHOD_NOT_ALLOWED, null);
            } else if (!PACKAGE_NAME.matcher(name).matches() || !Files.isRegularFile(file)) {
                writeEmpty(context, HttpResponseStatus.NOT_FOUND, null);
            } else if (fetchesInProgress.incrementAndGet() > maxFetches) {
                fetchesInProgress.decrementAndGet();
                DefaultFullHttpResponse rejection = emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
                rejection.headers().setInt(HttpHeaderNames.RETRY_AFTER, 1);
                context.writeAndFlush(rejection);
            } else {
                isInProgress = true;
                serve(context, request, file.toFile());
            }
        }

        private void serve(ChannelHandlerContext context, FullHttpRequest request, File file) throws IOException {
            String tag = '"' + sha256(file.toPath(), file.length(), file.lastModified()) + '"';
            String ifNoneMatch = request.headers().get(HttpHeaderNames.IF_NONE_MATCH);
            if (ifNoneMatch != null && (ifNoneMatch.equals("*") || ifNoneMatch.contains(tag))) {
                onFetchEnded();
                writeEmpty(context, HttpResponseStatus.NOT_MODIFIED, tag);
                return;
            }
            long size = file.length();
            String ifRange = request.headers().get(HttpHeaderNames.IF_RANGE);
            boolean isSameVersion = ifRange == null || ifRange.equals(tag);
            ByteRange range = isSameVersion
                    ? ByteRange.parse(request.headers().get(HttpHeaderNames.RANGE), size)
                    : ByteRange.WHOLE_FILE;
            if (range == ByteRange.UNSATISFIABLE) {
                onFetchEnded();
                DefaultFullHttpResponse unsatisfiable =
                        emptyResponse(HttpResponseStatus.REQUESTED_RANGE_NOT_SATISFIABLE);
                unsatisfiable
                        .headers()
                        .set(HttpHeaderNames.CONTENT_RANGE, "bytes */" + size)
                        .set(HttpHeaderNames.ETAG, tag);
                context.writeAndFlush(unsatisfiable);
                return;
            }
            boolean isPartial = range != ByteRange.WHOLE_FILE;
            long from = isPartial ? range.from() : 0;
            long length = isPartial ? range.length() : size;
            HttpResponse responseHead = new DefaultHttpResponse(
                    HttpVersion.HTTP_1_1, isPartial ? HttpResponseStatus.PARTIAL_CONTENT : HttpResponseStatus.OK);
            responseHead
                    .headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, length)
                    .set(HttpHeaderNames.ETAG, tag)
                    .set(HttpHeaderNames.ACCEPT_RANGES, "bytes");
            if (isPartial) {
                responseHead
                        .headers()
                        .set(HttpHeaderNames.CONTENT_RANGE, "bytes " + from + '-' + range.to() + '/' + size);
            }
            context.write(responseHead);
            if (!request.method().equals(HttpMethod.HEAD) && length > 0) {
                context.write(new DefaultFileRegion(file, from, length));
            }
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
                onFetchEnded();
                if (!done.isSuccess()) {
                    context.close();
                }
            });
        }

        private void onFetchEnded() {
            if (isInProgress) {
                isInProgress = false;
                fetchesInProgress.decrementAndGet();
            }
        }

        private DefaultFullHttpResponse emptyResponse(HttpResponseStatus status) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
            if (!status.equals(HttpResponseStatus.NOT_MODIFIED)) {
                response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            }
            return response;
        }

        private void writeEmpty(ChannelHandlerContext context, HttpResponseStatus status, String tag) {
            DefaultFullHttpResponse response = emptyResponse(status);
            if (tag != null) {
                response.headers().set(HttpHeaderNames.ETAG, tag);
            }
            context.writeAndFlush(response);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                context.close(); // also a client that does not read the response
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onFetchEnded();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.writeAndFlush(emptyResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR))
                    .addListener(ChannelFutureListener.CLOSE);
        }
    }
}

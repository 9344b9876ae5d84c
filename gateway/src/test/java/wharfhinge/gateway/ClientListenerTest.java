package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharfhinge.engine.DispatcherFactory;

/** Tests how the gateway answers valid and malformed requests of clients over HTTP/1.1 and HTTP/2. */
@Timeout(60)
class ClientListenerTest {
    @TempDir
    private Path folder;

    private FakePeer worker;
    private GatewayFixture fixture;

    @BeforeEach
    void startGateway() throws Exception {
        worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
        fixture = new GatewayFixture(folder, "", DispatcherFactory.CACHE_AWARE);
        fixture.announce(worker.id());
    }

    @AfterEach
    void stopGateway() throws Exception {
        fixture.close();
        worker.close();
    }

    private String sendRaw(String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", fixture.gateway.address().getPort())) {
            client.setSoTimeout(1500);
            client.getOutputStream().write(request.replace("\n", "\r\n").getBytes(StandardCharsets.US_ASCII));
            StringBuilder read = new StringBuilder();
            try {
                for (int c = client.getInputStream().read();
                        c >= 0;
                        c = client.getInputStream().read()) {
                    read.append((char) c);
                    if (read.toString().endsWith("\n") && read.toString().contains("allowed")) {
                        break;
                    }
                }
            } catch (IOException e) {
                read.append(" <").append(e.getMessage()).append('>');
            }
            return read.toString();
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST /v1/call/f|wh-class: none|400|wh-class: found 'none', allowed: one of [safe, once, flow]",
                "POST /v1/call/f|x-y: z|400|wh-class: found nothing, allowed: one of",
                "POST /v1/call/|wh-class: safe|400|function in the path: found ''",
                "POST /v1/call/f|wh-deadline-ms: 0|400|wh-deadline-ms: found '0', allowed: a whole number above 0",
                "POST /v1/call/f|wh-deadline-ms: -3|400|wh-deadline-ms: found '-3', allowed: a whole number",
                "POST /v1/call/f|wh-deadline-ms: ten|400|wh-deadline-ms: found 'ten', allowed: a whole number",
                "GET /v1/call/f|wh-class: safe|405|method: found 'GET', allowed: POST",
                "POST /v2/other|wh-class: safe|404|path: found nothing there, allowed: /v1/call/{function}"
            })
    void malformedRequest_isRejectedWithReasonAndNextCallIsServed(
            String requestLine, String header, int status, String expected) throws Exception {
        String answer = sendRaw(requestLine + " HTTP/1.1\nhost: x\n" + header + "\ncontent-length: 0\n\n");
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertTrue(answer.contains(expected), answer);
        assertEquals("well", GatewayFixture.get(fixture.call("safe", "f", 2000)).body());
    }

    @Test
    void oversizedOrBrokenRequest_isRejected() throws Exception {
        String body = sendRaw("POST /v1/call/f HTTP/1.1\nhost: x\nwh-class: safe\ncontent-length: 900000\n\nxx");
        assertTrue(body.startsWith("HTTP/1.1 413") && body.contains("allowed: at most 65536"), body);
        String headers = sendRaw("POST /v1/call/f HTTP/1.1\nhost: x\nlong: " + "y".repeat(5000) + "\n\n");
        assertTrue(headers.startsWith("HTTP/1.1 431"), headers);
        String invalidChunk =
                sendRaw("POST /v1/call/f HTTP/1.1\nhost: x\nwh-class: safe\ntransfer-encoding: chunked\n\nzz\n");
        assertTrue(invalidChunk.startsWith("HTTP/1.1 400"), invalidChunk);
        String notHttp = sendRaw("\u0001\u0002 nonsense\n\n");
        assertTrue(notHttp.startsWith("HTTP/1.1 400"), notHttp);
        assertEquals("well", GatewayFixture.get(fixture.call("safe", "f", 2000)).body());
    }

    @Test
    void pipelinedCalls_areAnsweredInOrder() throws Exception {
        String one = "POST /v1/call/f HTTP/1.1\nhost: x\nwh-class: safe\nwh-id: a\ncontent-length: 0\n\n";
        String all = sendRaw(one + one + "GET /v1/nowhere HTTP/1.1\nhost: x\n\n");
        assertEquals(2, all.split("wh-answer: served", -1).length - 1, all);
        assertTrue(all.indexOf("HTTP/1.1 404") > all.lastIndexOf("served"), all);
    }

    @Test
    void response_hasWorkerReasonAndAttempts() throws Exception {
        HttpResponse<String> response = GatewayFixture.get(fixture.call("safe", "f", 2000));
        assertEquals(worker.id(), response.headers().firstValue("wh-worker").orElse(""));
        assertEquals(
                worker.id() + ":served/found",
                response.headers().firstValue("wh-reason").orElse(""));
        assertEquals("1", response.headers().firstValue("wh-attempts").orElse(""));
    }

    @Test
    void http2Calls_areServedAndReceiveGoAwayOnShutdown() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        try {
            Channel connection = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline()
                                    .addLast(
                                            Http2FrameCodecBuilder.forClient().build(),
                                            new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                                @Override
                                                protected void initChannel(Channel stream) {}
                                            }),
                                            new SimpleChannelInboundHandler<Http2GoAwayFrame>() {
                                                @Override
                                                protected void channelRead0(
                                                        ChannelHandlerContext ctx, Http2GoAwayFrame frame) {
                                                    events.add("goaway");
                                                }
                                            });
                        }
                    })
                    .connect("127.0.0.1", fixture.gateway.address().getPort())
                    .sync()
                    .channel();
            Http2StreamChannel stream = new Http2StreamChannelBootstrap(connection)
                    .handler(new SimpleChannelInboundHandler<Http2HeadersFrame>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext ctx, Http2HeadersFrame frame) {
                            events.add(frame.headers().status() + " "
                                    + frame.headers().get("wh-answer"));
                        }
                    })
                    .open()
                    .sync()
                    .getNow();
            stream.writeAndFlush(new DefaultHttp2HeadersFrame(
                    new DefaultHttp2Headers()
                            .method("POST")
                            .scheme("http")
                            .path("/v1/call/f")
                            .authority("x")
                            .set("wh-class", "safe"),
                    true));
            assertEquals("200 served", events.poll(5, TimeUnit.SECONDS));
            CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
                try {
                    fixture.gateway.stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            assertEquals("goaway", events.poll(5, TimeUnit.SECONDS));
            stopped.get(5, TimeUnit.SECONDS);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Guards against connections that are reset in the accept backlog when the port closes, with a request already sent on them. */
    @Test
    void connectionsInBacklogAtShutdown_getAResponse() throws Exception {
        int clientCount = 200;
        CountDownLatch acceptorBlock = new CountDownLatch(1);
        CountDownLatch stopped = new CountDownLatch(1);
        List<Socket> sockets = new ArrayList<>();
        fixture.gateway.acceptorGroup().execute(() -> awaitUninterruptibly(acceptorBlock));
        try {
            for (int i = 0; i < clientCount; i++) {
                Socket socket =
                        new Socket("127.0.0.1", fixture.gateway.address().getPort());
                sockets.add(socket);
                socket.setSoTimeout(8000);
                socket.getOutputStream()
                        .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\nwh-deadline-ms: 2000\r\n"
                                        + "content-length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
            }
            new Thread(() -> {
                        stopGatewayUnchecked();
                        stopped.countDown();
                    })
                    .start();
            GatewayFixture.await("the shutdown waits for the acceptor", fixture.gateway::isStopping);
            acceptorBlock.countDown();
            int answered = 0;
            for (Socket socket : sockets) {
                answered += readStatusLine(socket).startsWith("HTTP/1.1 ") ? 1 : 0;
            }
            assertEquals(clientCount, answered);
            assertTrue(stopped.await(8, TimeUnit.SECONDS));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void stopGatewayUnchecked() {
        try {
            fixture.gateway.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await(8, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns an empty string if the connection was closed or reset without a response. */
    private static String readStatusLine(Socket socket) {
        try {
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }
}

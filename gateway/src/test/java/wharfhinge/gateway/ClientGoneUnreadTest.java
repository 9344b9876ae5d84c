package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import io.netty.util.concurrent.EventExecutor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wharfhinge.engine.DispatcherFactory;

/** Guards against calls that are sent although their client had left: request and end of stream are both unread as the I/O threads resume. */
@Timeout(60)
class ClientGoneUnreadTest {
    private static final int CLIENTS = 100;
    private static final long PAUSE_MILLIS = 110;
    private static final String PREFACE = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    private static final byte HEADERS_FRAME = 1;
    private static final byte SETTINGS_FRAME = 4;
    private static final byte END_HEADERS_AND_STREAM = 5;
    /** Static-table indexes of HPACK. */
    private static final int METHOD_POST = 0x83;

    private static final int SCHEME_HTTP = 0x86;
    private static final int PATH_LITERAL = 0x04;
    private static final int AUTHORITY_LITERAL = 0x01;

    /** The protocol in which a client sends its call. */
    enum ClientProtocol {
        HTTP1 {
            @Override
            byte[] call() {
                return "POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\ncontent-length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII);
            }
        },
        HTTP2 {
            @Override
            byte[] call() throws IOException {
                ByteArrayOutputStream headers = new ByteArrayOutputStream();
                headers.write(METHOD_POST);
                headers.write(SCHEME_HTTP);
                headers.write(PATH_LITERAL);
                writeText(headers, "/v1/call/f");
                headers.write(AUTHORITY_LITERAL);
                writeText(headers, "x");
                headers.write(0);
                writeText(headers, "wh-class");
                writeText(headers, "safe");
                ByteArrayOutputStream call = new ByteArrayOutputStream();
                call.writeBytes(PREFACE.getBytes(StandardCharsets.US_ASCII));
                call.writeBytes(new byte[] {0, 0, 0, SETTINGS_FRAME, 0, 0, 0, 0, 0});
                call.writeBytes(
                        new byte[] {0, 0, (byte) headers.size(), HEADERS_FRAME, END_HEADERS_AND_STREAM, 0, 0, 0, 1});
                headers.writeTo(call);
                return call.toByteArray();
            }
        };

        abstract byte[] call() throws IOException;

        private static void writeText(ByteArrayOutputStream out, String text) {
            out.write(text.length());
            out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource(ClientProtocol.class)
    void clientsThatLeftUnread_areNotServed(ClientProtocol protocol) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakePeer worker = new FakePeer(in -> {
                    calls.incrementAndGet();
                    in.respond(SERVED, FOUND, "well");
                });
                GatewayFixture fixture = new GatewayFixture(folder, "", DispatcherFactory.CACHE_AWARE)) {
            fixture.announce(worker.id());
            fixture.call("safe", "f", 2000).get(8, TimeUnit.SECONDS); // so that a connection to the worker exists
            CountDownLatch eventLoopBlock = blockEventLoops(fixture);
            for (int i = 0; i < CLIENTS; i++) {
                try (Socket client =
                        new Socket("127.0.0.1", fixture.gateway.address().getPort())) {
                    client.getOutputStream().write(protocol.call());
                }
            }
            long closedAtNanos = System.nanoTime();
            GatewayFixture.await(
                    "the pause has passed",
                    () -> System.nanoTime() - closedAtNanos > TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
            int before = calls.get();
            eventLoopBlock.countDown();
            fixture.call("safe", "f", 2000).get(8, TimeUnit.SECONDS);
            GatewayFixture.await("no connection is left", () -> fixture.metric("connections") <= 1);
            GatewayFixture.await("no call is in flight", () -> fixture.metric("open_calls") == 0);
            assertEquals(before + 1, calls.get(), "calls of the client that stayed");
        }
    }

    /** Blocks the event loops of all connections until the latch is counted down; they are blocked when this returns. */
    private static CountDownLatch blockEventLoops(GatewayFixture fixture) throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        List<CountDownLatch> blocked = new ArrayList<>();
        for (EventExecutor loop : fixture.gateway.ioGroup()) {
            CountDownLatch started = new CountDownLatch(1);
            blocked.add(started);
            loop.execute(() -> {
                started.countDown();
                awaitRelease(release);
            });
        }
        for (CountDownLatch latch : blocked) {
            assertTrue(latch.await(5, TimeUnit.SECONDS));
        }
        return release;
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await(8, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http2.DefaultHttp2HeadersDecoder;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.protocol.WorkerProtocol;

/** Tests that a worker receives the time that is left of the deadline when the request is sent, not when it was queued. */
@Timeout(60)
class RemainingDeadlineTest {
    private static final int PREFACE_BYTES = 24;
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int HEADERS_FRAME = 1;
    private static final byte[] SETTINGS_FRAME = {0, 0, 0, 4, 0, 0, 0, 0, 0};
    private static final long CALL_DEADLINE_MS = 9500;
    private static final long SETTINGS_DELAY_MS = 500;

    @TempDir
    private Path folder;

    /** The connection is established, but the worker's SETTINGS frame, before which no request may be sent, arrives late. */
    @Test
    void callQueuedForConnection_sendsRemainingDeadline() throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                GatewayFixture fixture = new GatewayFixture(
                        folder,
                        "dial-timeout-ms=\"8000\"",
                        settings -> settings.replace("aim-ms=\"600\"", "aim-ms=\"9000\"")
                                .replace("give-up-ms=\"2500\"", "give-up-ms=\"" + CALL_DEADLINE_MS + "\""),
                        DispatcherFactory.CACHE_AWARE);
                Socket client = new Socket()) {
            fixture.announce("127.0.0.1:" + worker.getLocalPort());
            client.connect(
                    new InetSocketAddress("127.0.0.1", fixture.gateway.address().getPort()));
            client.getOutputStream()
                    .write("POST /v1/call/f HTTP/1.1\r\nhost: g\r\nwh-class: safe\r\ncontent-length: 2\r\n\r\nhi"
                            .getBytes(StandardCharsets.ISO_8859_1));
            try (Socket connection = worker.accept()) {
                connection.setSoTimeout(8000);
                DataInputStream in = new DataInputStream(connection.getInputStream());
                in.readNBytes(PREFACE_BYTES);
                GatewayFixture.await("the attempt is counted", () -> fixture.metric("attempts") == 1);
                long startNanos = System.nanoTime();
                GatewayFixture.await(
                        "the SETTINGS delay has passed",
                        () -> System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(SETTINGS_DELAY_MS));
                connection.getOutputStream().write(SETTINGS_FRAME);
                long sentMillis = deadlineOfFirstCall(in);
                assertTrue(
                        sentMillis <= CALL_DEADLINE_MS - SETTINGS_DELAY_MS,
                        "sent a deadline of " + sentMillis + " ms with " + (CALL_DEADLINE_MS - SETTINGS_DELAY_MS)
                                + " ms left at most");
                assertTrue(sentMillis > 0);
                // before the connection is closed, which makes the gateway try again
                assertEquals(1, fixture.metric("attempts"));
            }
        }
    }

    private static long deadlineOfFirstCall(DataInputStream in) throws Exception {
        DefaultHttp2HeadersDecoder decoder = new DefaultHttp2HeadersDecoder(false);
        while (true) {
            byte[] frameHeader = in.readNBytes(FRAME_HEADER_BYTES);
            byte[] payload =
                    in.readNBytes((frameHeader[0] & 255) << 16 | (frameHeader[1] & 255) << 8 | frameHeader[2] & 255);
            if (frameHeader[3] != HEADERS_FRAME) {
                continue;
            }
            var headers = decoder.decodeHeaders(1, Unpooled.wrappedBuffer(payload));
            if (headers.path().toString().startsWith(WorkerProtocol.CALL_PATH)) {
                return headers.getLong(WorkerProtocol.DEADLINE_MS);
            }
        }
    }
}

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

/** A worker receives the time that is left of the deadline as the request is sent. */
@Timeout(60)
class RemainingDeadlineTest {
    private static final int PREFACE = 24;
    private static final int FRAME_HEAD = 9;
    private static final int HEADERS = 1;
    private static final byte[] SETTINGS = {0, 0, 0, 4, 0, 0, 0, 0, 0};
    private static final long GIVE_UP_MS = 9500;
    private static final long HELD_MS = 500;

    @TempDir
    private Path folder;

    /** The connection comes up, and the worker's settings, without which nothing may go out, come late. */
    @Test
    void callQueuedForConnection_sendsRemainingDeadline() throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                GatewayFixture rig = new GatewayFixture(
                        folder,
                        "dial-timeout-ms=\"8000\"",
                        text -> text.replace("aim-ms=\"600\"", "aim-ms=\"9000\"")
                                .replace("give-up-ms=\"2500\"", "give-up-ms=\"" + GIVE_UP_MS + "\""),
                        DispatcherFactory.CACHE_AWARE);
                Socket client = new Socket()) {
            rig.announce("127.0.0.1:" + worker.getLocalPort());
            client.connect(
                    new InetSocketAddress("127.0.0.1", rig.gateway.address().getPort()));
            client.getOutputStream()
                    .write("POST /v1/call/f HTTP/1.1\r\nhost: g\r\nwh-class: safe\r\ncontent-length: 2\r\n\r\nhi"
                            .getBytes(StandardCharsets.ISO_8859_1));
            try (Socket s = worker.accept()) {
                s.setSoTimeout(8000);
                DataInputStream in = new DataInputStream(s.getInputStream());
                in.readNBytes(PREFACE);
                GatewayFixture.await("it is out", () -> rig.metric("attempts") == 1);
                long began = System.nanoTime();
                GatewayFixture.await(
                        "time passed", () -> System.nanoTime() - began >= TimeUnit.MILLISECONDS.toNanos(HELD_MS));
                s.getOutputStream().write(SETTINGS);
                long toldMillis = deadlineOfTheFirstCall(in);
                assertTrue(
                        toldMillis <= GIVE_UP_MS - HELD_MS,
                        "told " + toldMillis + " ms, left " + (GIVE_UP_MS - HELD_MS) + " at most");
                assertTrue(toldMillis > 0);
            }
            assertEquals(1, rig.metric("attempts"));
        }
    }

    private static long deadlineOfTheFirstCall(DataInputStream in) throws Exception {
        DefaultHttp2HeadersDecoder decoder = new DefaultHttp2HeadersDecoder(false);
        while (true) {
            byte[] head = in.readNBytes(FRAME_HEAD);
            byte[] payload = in.readNBytes((head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255);
            if (head[3] != HEADERS) {
                continue;
            }
            var headers = decoder.decodeHeaders(1, Unpooled.wrappedBuffer(payload));
            if (headers.path().toString().startsWith(WorkerProtocol.CALL_PATH)) {
                return headers.getLong(WorkerProtocol.DEADLINE_MS);
            }
        }
    }
}

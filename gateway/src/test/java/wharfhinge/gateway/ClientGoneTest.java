package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharfhinge.engine.DispatcherFactory;

/** Tests that nothing is sent to a worker once the client has closed its connection, before or after its call was sent. */
@Timeout(60)
class ClientGoneTest {
    private static final int FRAME_HEADER_BYTES = 9;
    private static final int HEADERS_FRAME = 1;
    private static final int PING_FRAME = 6;
    private static final int END_STREAM = 1;
    private static final int PREFACE_BYTES = 24;
    private static final byte[] SETTINGS_FRAME = {0, 0, 0, 4, 0, 0, 0, 0, 0};
    private static final byte[] PING_REQUEST = {0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8};

    @TempDir
    private Path folder;

    /** The worker's SETTINGS frame, without which the connection is not usable, arrives after the client has closed, or before. */
    @ParameterizedTest
    @CsvSource({"true,false", "true,true", "false,false", "false,true"})
    void cancelWhileQueuedForConnection_sendsNothing(boolean closesBeforeSettings, boolean reset) throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                GatewayFixture fixture = new GatewayFixture(
                        folder,
                        "dial-timeout-ms=\"8000\"",
                        settings -> settings.replace("aim-ms=\"600\"", "aim-ms=\"9000\"")
                                .replace("give-up-ms=\"2500\"", "give-up-ms=\"9500\""),
                        DispatcherFactory.CACHE_AWARE);
                Socket client = new Socket()) {
            fixture.announce("127.0.0.1:" + worker.getLocalPort());
            client.connect(
                    new InetSocketAddress("127.0.0.1", fixture.gateway.address().getPort()));
            client.getOutputStream()
                    .write(("POST /v1/call/f HTTP/1.1\r\nhost: g\r\nwh-class: once\r\ncontent-length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.ISO_8859_1));
            try (Socket connection = worker.accept()) {
                connection.setSoTimeout(8000);
                DataInputStream in = new DataInputStream(connection.getInputStream());
                in.readNBytes(PREFACE_BYTES);
                GatewayFixture.await("the attempt is counted", () -> fixture.metric("attempts") == 1);
                if (!closesBeforeSettings) {
                    connection.getOutputStream().write(SETTINGS_FRAME);
                    int sent = 0;
                    // the attempt is counted before the connection pool receives it
                    for (int pings = 0; sent == 0 && pings < 1000; pings++) {
                        sent = callsUntilPing(connection, in);
                    }
                    assertEquals(1, sent, "calls sent before the client closed");
                }
                client.setSoLinger(reset, 0);
                client.close();
                GatewayFixture.await("the cancellation is counted", () -> fixture.metric("left") == 1);
                if (closesBeforeSettings) {
                    connection.getOutputStream().write(SETTINGS_FRAME);
                }
                assertEquals(0, callsUntilPing(connection, in), "calls sent after the client closed");
                GatewayFixture.await("no call is in flight", () -> fixture.metric("open_calls") == 0);
            }
        }
    }

    /** Returns the number of calls received before the response to a ping. */
    private static int callsUntilPing(Socket connection, DataInputStream in) throws java.io.IOException {
        connection.getOutputStream().write(PING_REQUEST);
        int calls = 0;
        while (true) {
            byte[] frameHeader = in.readNBytes(FRAME_HEADER_BYTES);
            in.readNBytes((frameHeader[0] & 255) << 16 | (frameHeader[1] & 255) << 8 | frameHeader[2] & 255);
            calls += frameHeader[3] == HEADERS_FRAME && (frameHeader[4] & END_STREAM) == 0
                    ? 1
                    : 0; // load and unload requests have no body
            if (frameHeader[3] == PING_FRAME && frameHeader[4] == 1) {
                return calls;
            }
        }
    }
}

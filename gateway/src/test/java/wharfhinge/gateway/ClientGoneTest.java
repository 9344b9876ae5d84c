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

/** A client leaves while its call waits for a connection to a worker, or after it went out there. */
@Timeout(60)
class ClientGoneTest {
    private static final int HEAD = 9; // of a frame
    private static final int HEADERS = 1;
    private static final int PING = 6;
    private static final int END_STREAM = 1;
    private static final int PREFACE = 24;
    private static final byte[] SETTINGS = {0, 0, 0, 4, 0, 0, 0, 0, 0};
    private static final byte[] ASK = {0, 0, 8, 6, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8};

    @TempDir
    private Path folder;

    /** The worker's settings, which make the connection one that may be used, come after the client left or before. */
    @ParameterizedTest
    @CsvSource({"true,false", "true,true", "false,false", "false,true"})
    void cancelWhileQueuedForConnection_sendsNothing(boolean leavesFirst, boolean reset) throws Exception {
        try (ServerSocket worker = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                GatewayFixture rig = new GatewayFixture(
                        folder,
                        "dial-timeout-ms=\"8000\"",
                        text -> text.replace("aim-ms=\"600\"", "aim-ms=\"9000\"")
                                .replace("give-up-ms=\"2500\"", "give-up-ms=\"9500\""),
                        DispatcherFactory.CACHE_AWARE);
                Socket client = new Socket()) {
            rig.announce("127.0.0.1:" + worker.getLocalPort());
            client.connect(
                    new InetSocketAddress("127.0.0.1", rig.gateway.address().getPort()));
            client.getOutputStream()
                    .write(("POST /v1/call/f HTTP/1.1\r\nhost: g\r\nwh-class: once\r\ncontent-length: 2\r\n\r\nhi")
                            .getBytes(StandardCharsets.ISO_8859_1));
            try (Socket s = worker.accept()) {
                s.setSoTimeout(8000);
                DataInputStream in = new DataInputStream(s.getInputStream());
                in.readNBytes(PREFACE);
                GatewayFixture.await("it is out", () -> rig.metric("attempts") == 1);
                if (!leavesFirst) {
                    s.getOutputStream().write(SETTINGS);
                    int sent = 0;
                    for (int asks = 0;
                            sent == 0 && asks < 1000;
                            asks++) { // the attempt is counted before its order reaches the pool
                        sent = callsUntilPing(s, in);
                    }
                    assertEquals(1, sent, "sent before");
                }
                client.setSoLinger(reset, 0);
                client.close();
                GatewayFixture.await("it left", () -> rig.metric("left") == 1);
                if (leavesFirst) {
                    s.getOutputStream().write(SETTINGS);
                }
                assertEquals(0, callsUntilPing(s, in), "sent after it left");
                GatewayFixture.await("nothing is open", () -> rig.metric("open_calls") == 0);
            }
        }
    }

    /** How many calls come before the answer to a ping does. */
    private static int callsUntilPing(Socket s, DataInputStream in) throws java.io.IOException {
        s.getOutputStream().write(ASK);
        int headers = 0;
        while (true) {
            byte[] head = in.readNBytes(HEAD);
            in.readNBytes((head[0] & 255) << 16 | (head[1] & 255) << 8 | head[2] & 255);
            headers += head[3] == HEADERS && (head[4] & END_STREAM) == 0 ? 1 : 0; // orders have no body
            if (head[3] == PING && head[4] == 1) {
                return headers;
            }
        }
    }
}

package wharfhinge.app.drill;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;

/** Finds free ports below the ephemeral range of the system, so that no other socket takes one while its process restarts. */
final class FreePorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int MAX_ATTEMPTS = 200;

    private int next;

    int take() throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = FIRST_PORT + (int) ((ProcessHandle.current().pid() * 131 + 7L * next++) % PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " on");
    }
}

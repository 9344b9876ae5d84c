package wharfhinge.gateway;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wharfhinge.policy.RequestClass;

/** The clients of a warm-up. Each has a thread and an HTTP/1.1 connection and sends one call after the other. */
final class WarmUpClients {
    private static final int CLIENTS = 8;
    private static final int FUNCTIONS = 64;
    private static final int RESPONSE_TIMEOUT_MILLIS = 2000;
    private static final String CONTENT_LENGTH = "content-length:";

    private final List<RequestClass> classes;
    private final int port;
    private final WarmUpProgress progress;

    /** Creates clients of the gateway at {@code port} of the loopback address. */
    WarmUpClients(List<RequestClass> classes, int port, WarmUpProgress progress) {
        this.classes = classes;
        this.port = port;
        this.progress = progress;
    }

    /** Runs the clients and returns once all have ended. */
    void run() throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        progress.start();
        for (int i = 0; i < CLIENTS; i++) {
            Thread thread = new Thread(this::sendCalls, "warm-up-client-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void sendCalls() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (long number = progress.nextCall(); progress.shouldContinue(number); number = progress.nextCall()) {
                socket.getOutputStream().write(request(number).getBytes(StandardCharsets.ISO_8859_1));
                skipResponse(in);
            }
        } catch (IOException e) {
            return; // the other clients go on, within the warm-up's time limit
        }
    }

    private String request(long number) {
        RequestClass requestClass = classes.get((int) (number % classes.size()));
        return "POST /v1/call/r" + number * number % FUNCTIONS
                + " HTTP/1.1\r\nhost: gateway\r\nwh-class: " + requestClass.name()
                + "\r\nwh-deadline-ms: " + RESPONSE_TIMEOUT_MILLIS
                + "\r\nwh-memory-mb: 1\r\nwh-lanes: 8\r\ncontent-length: 0\r\n\r\n";
    }

    private static void skipResponse(BufferedReader in) throws IOException {
        int bodyLength = 0;
        for (String line = in.readLine(); line == null || !line.isEmpty(); line = in.readLine()) {
            if (line == null) {
                throw new EOFException("connection closed within a response's headers");
            }
            if (line.regionMatches(true, 0, CONTENT_LENGTH, 0, CONTENT_LENGTH.length())) {
                bodyLength =
                        Integer.parseInt(line.substring(CONTENT_LENGTH.length()).trim());
            }
        }
        in.skip(bodyLength);
    }
}

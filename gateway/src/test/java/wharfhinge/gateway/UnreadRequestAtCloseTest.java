package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharfhinge.engine.DispatcherFactory;

/**
 * Guards against HTTP/1.1 connections that the gateway closes while a request lies unread in them: the requests are sent while the event loops
 * are blocked between a poll for input and the tasks that close the connections.
 */
@Timeout(60)
class UnreadRequestAtCloseTest {
    private static final int CLIENTS = 20;
    /** Long enough to open all connections before the first is idle for so long. */
    private static final int IDLE_MILLIS = 3000;

    private static final String REQUEST =
            "POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\nwh-deadline-ms: 2000\r\n"
                    + "content-length: 0\r\n\r\n";
    private static final String STATUS_LINE_START = "HTTP/1.1 ";

    @TempDir
    private Path folder;

    private final List<Socket> sockets = new ArrayList<>();
    private final CountDownLatch eventLoopBlock = new CountDownLatch(1);
    private volatile boolean isWorkerHanging;
    private FakePeer worker;
    private GatewayFixture fixture;

    @BeforeEach
    void startGateway() throws Exception {
        worker = new FakePeer(in -> {
            if (!isWorkerHanging) {
                in.respond(SERVED, FOUND, "well");
            }
        });
        fixture = new GatewayFixture(folder, "", "idle-ms=\"" + IDLE_MILLIS + "\"", DispatcherFactory.CACHE_AWARE);
        fixture.announce(worker.id());
    }

    @AfterEach
    void stopGateway() throws Exception {
        eventLoopBlock.countDown();
        for (Socket socket : sockets) {
            socket.close();
        }
        fixture.close();
        worker.close();
    }

    /**
     * The event loops are blocked until each connection has that many tasks: one that starts to drain it, and one that closes it once the
     * engine has ended.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void shutdown_answersUnreadRequestsOfIdleConnections(int tasksPerConnection) throws Exception {
        openIdleConnections();
        blockEventLoops();
        sendRequests();
        CountDownLatch stopped = stopInBackground();
        GatewayFixture.await("the connections are to be closed", () -> pendingTasks() >= tasksPerConnection * CLIENTS);
        eventLoopBlock.countDown();
        assertEquals(CLIENTS, countResponses());
        assertTrue(stopped.await(8, TimeUnit.SECONDS));
    }

    /** Connections without a request are closed last, once the engine has ended the calls in flight. */
    @Test
    void shutdown_answersUnreadRequestsOfSilentConnections() throws Exception {
        isWorkerHanging = true;
        for (int i = 0; i < CLIENTS; i++) {
            connect();
        }
        GatewayFixture.await("all connections are accepted", () -> fixture.metric("connections") == CLIENTS);
        fixture.call("safe", "f", 2000);
        GatewayFixture.await(
                "a call is in flight", () -> fixture.gateway.engine().pendingCalls() == 1);
        CountDownLatch stopped = stopInBackground();
        GatewayFixture.await("the port is closed", this::isPortClosed);
        blockEventLoops();
        sendRequests();
        GatewayFixture.await("the connections are to be closed", () -> pendingTasks() >= CLIENTS);
        eventLoopBlock.countDown();
        assertEquals(CLIENTS, countResponses());
        assertTrue(stopped.await(8, TimeUnit.SECONDS));
    }

    /** The event loops are blocked until the timeouts have passed, poll for input, and are blocked again before they handle them. */
    @Test
    void idleTimeout_answersUnreadRequests() throws Exception {
        openIdleConnections();
        long idleSinceNanos = System.nanoTime();
        CountDownLatch blockUntilTimeout = new CountDownLatch(1);
        List<CountDownLatch> blockedAgain = new ArrayList<>();
        for (EventExecutor loop : fixture.gateway.ioGroup()) {
            CountDownLatch started = new CountDownLatch(1);
            blockedAgain.add(started);
            loop.execute(() -> {
                // from within the loop, so that it is run together with the timeouts, after the next poll
                loop.schedule(blockTask(started, eventLoopBlock), 0, TimeUnit.NANOSECONDS);
                awaitUninterruptibly(blockUntilTimeout);
            });
        }
        GatewayFixture.await(
                "the idle timeout has passed",
                () -> System.nanoTime() - idleSinceNanos > TimeUnit.MILLISECONDS.toNanos(IDLE_MILLIS));
        blockUntilTimeout.countDown();
        awaitAll(blockedAgain);
        sendRequests();
        eventLoopBlock.countDown();
        assertEquals(CLIENTS, countResponses());
    }

    /** Opens connections that stay open after a response. */
    private void openIdleConnections() throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = connect();
            send(socket);
            readResponse(socket);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", fixture.gateway.address().getPort());
        sockets.add(socket);
        socket.setSoTimeout(8000);
        return socket;
    }

    private boolean isPortClosed() {
        try {
            new Socket("127.0.0.1", fixture.gateway.address().getPort()).close();
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private void sendRequests() throws IOException {
        for (Socket socket : sockets) {
            send(socket);
        }
    }

    private static void send(Socket socket) throws IOException {
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
    }

    private static void readResponse(Socket socket) throws IOException {
        StringBuilder response = new StringBuilder();
        while (!response.toString().endsWith("\r\n\r\nwell")) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, () -> "no response, but: " + response);
            response.append((char) next);
        }
    }

    /** Blocks the event loops of all connections; they are blocked when this returns. */
    private void blockEventLoops() throws InterruptedException {
        List<CountDownLatch> blocked = new ArrayList<>();
        for (EventExecutor loop : fixture.gateway.ioGroup()) {
            CountDownLatch started = new CountDownLatch(1);
            blocked.add(started);
            loop.execute(blockTask(started, eventLoopBlock));
        }
        awaitAll(blocked);
    }

    private static Runnable blockTask(CountDownLatch started, CountDownLatch release) {
        return () -> {
            started.countDown();
            awaitUninterruptibly(release);
        };
    }

    private static void awaitAll(List<CountDownLatch> latches) throws InterruptedException {
        for (CountDownLatch latch : latches) {
            assertTrue(latch.await(5, TimeUnit.SECONDS));
        }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await(8, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int pendingTasks() {
        int tasks = 0;
        for (EventExecutor loop : fixture.gateway.ioGroup()) {
            tasks += ((SingleThreadEventExecutor) loop).pendingTasks();
        }
        return tasks;
    }

    private CountDownLatch stopInBackground() {
        CountDownLatch stopped = new CountDownLatch(1);
        new Thread(() -> {
                    try {
                        fixture.gateway.stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    stopped.countDown();
                })
                .start();
        return stopped;
    }

    private int countResponses() {
        int responses = 0;
        for (Socket socket : sockets) {
            responses += readStart(socket).equals(STATUS_LINE_START) ? 1 : 0;
        }
        return responses;
    }

    /** Returns an empty string if the connection was closed or reset without a response. */
    private static String readStart(Socket socket) {
        try {
            return new String(
                    socket.getInputStream().readNBytes(STATUS_LINE_START.length()), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }
}

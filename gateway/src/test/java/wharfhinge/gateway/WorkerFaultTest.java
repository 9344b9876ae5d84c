package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.gateway.GatewayFixture.answer;
import static wharfhinge.gateway.GatewayFixture.get;
import static wharfhinge.protocol.AnswerCode.FULL;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;
import static wharfhinge.protocol.CopyNote.NONE;

import io.netty.handler.codec.http2.Http2Error;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.protocol.RosterEntry.State;

/** Tests how the gateway handles faults of workers, connections and clients on real sockets. */
@Timeout(60)
class WorkerFaultTest {
    @TempDir
    private Path folder;

    private GatewayFixture fixture(String workers) throws Exception {
        return new GatewayFixture(folder, workers, DispatcherFactory.CACHE_AWARE);
    }

    private static FakePeer healthyWorker() {
        return new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
    }

    @Test
    void connectionLostAfterHeaders_retriesOnlyIdempotentCalls() throws Exception {
        try (FakePeer failing = new FakePeer(FakePeer.ReceivedRequest::closeConnection);
                GatewayFixture fixture = fixture("")) {
            fixture.announce(failing.id());
            HttpResponse<String> atMostOnce = get(fixture.call("once", "f", 2000));
            assertEquals("failed", answer(atMostOnce), "a possibly executed call is not reported as safe to retry");
            assertEquals(502, atMostOnce.statusCode());
            assertTrue(atMostOnce.headers().firstValue("wh-reason").orElse("").contains("connection-lost"));
            failing.next();
            assertTrue(failing.receivesNoCallWithin(100), "an at-most-once call was sent twice");
        }
        try (FakePeer failing = new FakePeer(FakePeer.ReceivedRequest::closeConnection);
                FakePeer healthy = healthyWorker();
                GatewayFixture fixture = fixture("")) {
            fixture.announce(failing.id(), healthy.id());
            for (int i = 0; i < 6; i++) {
                assertEquals("served", answer(get(fixture.call("safe", "f" + i, 2000))));
            }
        }
    }

    @Test
    void goAway_provesOnlyStreamsAboveLastNotExecuted() throws Exception {
        try (FakePeer shuttingDown = new FakePeer(null);
                FakePeer healthy = healthyWorker();
                GatewayFixture fixture = fixture("max-connections=\"1\"")) {
            fixture.announce(shuttingDown.id());
            CompletableFuture<HttpResponse<String>> processed = fixture.call("once", "f", 2400);
            FakePeer.ReceivedRequest first = shuttingDown.next();
            CompletableFuture<HttpResponse<String>> unprocessed = fixture.call("once", "f", 2400);
            FakePeer.ReceivedRequest second = shuttingDown.next();
            assertTrue(second.streamId() > first.streamId());
            fixture.announceChange(GatewayFixture.entry(healthy.id(), State.UP, "b0"));
            GatewayFixture.await("the endpoint update is delivered", () -> fixture.metric("lists") >= 2);
            second.goAway(first.streamId());
            assertEquals(
                    "well",
                    get(unprocessed).body(),
                    "the GOAWAY proves that the stream was not processed, so the call is sent elsewhere");
            first.respond(SERVED, FOUND, "from the one that leaves");
            assertEquals("from the one that leaves", get(processed).body());
        }
    }

    @Test
    void refusedStream_isRetriedElsewhereAndResetStreamIsNot() throws Exception {
        try (FakePeer refuses = new FakePeer(in -> in.reset(Http2Error.REFUSED_STREAM));
                GatewayFixture fixture = fixture("")) {
            fixture.announce(refuses.id());
            assertEquals("refused", answer(get(fixture.call("once", "f", 2000))));
        }
        try (FakePeer resets = new FakePeer(in -> in.reset(Http2Error.INTERNAL_ERROR));
                GatewayFixture fixture = fixture("")) {
            fixture.announce(resets.id());
            assertEquals("failed", answer(get(fixture.call("once", "f", 2000))));
        }
    }

    @Test
    void responseAtDeadline_givesOneFinalAnswer() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (FakePeer slow = new FakePeer(in -> timer.schedule(
                        () -> in.respond(SERVED, FOUND, "well"),
                        60_000 - 4000 + in.streamId() % 64 * 100,
                        TimeUnit.MICROSECONDS));
                GatewayFixture fixture = fixture("second-copies=\"false\"")) {
            fixture.announce(slow.id());
            get(fixture.call("safe", "f", 2000));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                calls.add(fixture.call("safe", "f", 60));
            }
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertTrue(List.of("served", "refused", "failed").contains(answer(get(call))));
            }
            GatewayFixture.await("no call is in flight", () -> fixture.metric("open_calls") == 0);
            assertEquals(201, fixture.metric("taken"));
            assertEquals(201, fixture.metric("served") + fixture.metric("refused") + fixture.metric("failed"));
        } finally {
            timer.shutdownNow();
        }
    }

    @Test
    void clientCancelDuringHedge_leavesNothingInFlight() throws Exception {
        try (FakePeer one = new FakePeer(null);
                FakePeer two = new FakePeer(null);
                GatewayFixture fixture = fixture("second-copies=\"true\"")) {
            fixture.announce(one.id(), two.id());
            Socket client = new Socket("127.0.0.1", fixture.gateway.address().getPort());
            client.getOutputStream()
                    .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\nwh-load-ms: 50\r\n"
                                    + "content-length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            FakePeer.ReceivedRequest first = one.next();
            FakePeer.ReceivedRequest second = two.next();
            client.close();
            GatewayFixture.await("the cancellation is counted", () -> fixture.metric("left") == 1);
            first.respond(SERVED, FOUND, "late");
            second.respond(SERVED, FOUND, "late");
            GatewayFixture.await("late responses are counted", () -> fixture.metric("late_answers") == 2);
            assertEquals(0, fixture.metric("open_calls"));
            assertEquals(0, fixture.metric("restarts"));
        }
    }

    @Test
    void drainBetweenDecisionAndSend_sendsNothing() throws Exception {
        try (FakePeer draining = new FakePeer(null);
                FakePeer healthy = healthyWorker();
                GatewayFixture fixture = fixture("dial-timeout-ms=\"590\"")) {
            draining.holdHandshakes = true;
            fixture.announce(draining.id());
            CompletableFuture<HttpResponse<String>> call = fixture.call("once", "f", 2400);
            GatewayFixture.await("the call waits for the connection", () -> draining.heldHandshakes() > 0);
            fixture.announceChange(GatewayFixture.entry(healthy.id(), State.UP, "b0"));
            fixture.announceChange(GatewayFixture.entry(draining.id(), State.DRAINING, "b0"));
            GatewayFixture.await("the endpoint updates are delivered", () -> fixture.metric("lists") >= 3);
            draining.releaseHandshakes();
            assertEquals("well", get(call).body());
            assertTrue(draining.receivesNoCallWithin(200), "a call reached a draining worker");
        }
    }

    @Test
    void restartedWorker_servesUnderItsOldAddress() throws Exception {
        FakePeer old = healthyWorker();
        int port = old.port();
        try (GatewayFixture fixture = fixture("")) {
            fixture.announce(old.id());
            assertEquals("well", get(fixture.call("safe", "f", 2000)).body());
            old.close();
            try (FakePeer restarted = new FakePeer(port, in -> in.respond(SERVED, FOUND, "new"))) {
                fixture.announceChange(GatewayFixture.entry(restarted.id(), State.UP, "b1"));
                GatewayFixture.await("the restarted worker serves", () -> {
                    try {
                        return get(fixture.call("safe", "f", 2000)).body().equals("new");
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });
            }
        }
    }

    @Test
    void deadWorker_costsOneAttemptAndUnlistedWorkerGetsNothing() throws Exception {
        FakePeer dead = healthyWorker();
        String deadId = dead.id();
        dead.close();
        try (FakePeer healthy = healthyWorker();
                FakePeer unlisted = healthyWorker();
                GatewayFixture fixture = fixture("")) {
            fixture.announce(deadId, healthy.id());
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        "well",
                        get(fixture.call("once", "f" + i, 2000)).body(),
                        "a refused connection proves that the call was not executed");
            }
            assertTrue(unlisted.receivesNoCallWithin(1));
        }
    }

    @Test
    void request_namesTheIntendedIncarnation() throws Exception {
        try (FakePeer worker =
                        new FakePeer(in -> in.respond(SERVED, FOUND, String.valueOf(in.headers.get("wh-boot"))));
                GatewayFixture fixture = fixture("")) {
            fixture.announce(worker.id());
            assertEquals("b0", get(fixture.call("once", "f", 2000)).body());
            fixture.announceChange(GatewayFixture.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "b1"));
            assertEquals("b1", get(fixture.call("once", "f", 2000)).body());
            fixture.announceChange(GatewayFixture.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "-"));
            assertEquals("null", get(fixture.call("once", "f", 2000)).body(), "the endpoint list gives no incarnation");
        }
    }

    @Test
    void endlessResponse_isCutOffAtLimit() throws Exception {
        try (FakePeer flooding = new FakePeer(in -> {
                    in.sendHeaders(SERVED, FOUND, false);
                    in.flood(16_384);
                });
                GatewayFixture fixture = fixture("")) {
            fixture.announce(flooding.id());
            HttpResponse<String> response = get(fixture.call("once", "f", 2000));
            assertEquals("failed", answer(response));
            assertTrue(response.headers().firstValue("wh-reason").orElse("").contains("too-large"));
            assertTrue(flooding.resets.poll(2, TimeUnit.SECONDS) != null, "the stream was not reset");
            assertTrue(
                    flooding.floodedParts < 64,
                    flooding.floodedParts + " parts of 64 KB were read with a limit of 1 MB");
        }
    }

    @Test
    void saturatedWorker_isNotPenalizedAndAnotherServes() throws Exception {
        try (FakePeer saturated = new FakePeer(in -> in.respond(FULL, NONE, ""));
                FakePeer healthy = healthyWorker();
                GatewayFixture fixture = fixture("")) {
            fixture.announce(saturated.id(), healthy.id());
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                answers.add(answer(get(fixture.call("once", "f" + i, 2000))));
            }
            assertTrue(answers.contains("served"), answers.toString());
            assertTrue(
                    !answers.contains("failed"),
                    "a saturated response proves that the call was not executed: " + answers);
        }
    }

    @Test
    void idleConnections_doNotBlockCalls() throws Exception {
        try (FakePeer healthy = healthyWorker();
                GatewayFixture fixture = fixture("")) {
            fixture.announce(healthy.id());
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < 5000; i++) {
                    idle.add(new Socket("127.0.0.1", fixture.gateway.address().getPort()));
                }
                GatewayFixture.await("all connections are established", () -> fixture.metric("connections") >= 5000);
                assertEquals("well", get(fixture.call("safe", "f", 2000)).body());
                for (int i = 0; i < 1100; i++) {
                    idle.add(new Socket("127.0.0.1", fixture.gateway.address().getPort()));
                }
                GatewayFixture.await(
                        "excess connections are closed", () -> fixture.metric("connections_turned_away") > 0);
            } finally {
                for (Socket socket : idle) {
                    socket.close();
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stream_isPassedOnAsItComesAndBrokenStreamDoesNotLookComplete(boolean complete) throws Exception {
        try (FakePeer streaming = new FakePeer(null);
                GatewayFixture fixture = fixture("")) {
            fixture.announce(streaming.id());
            try (Socket client =
                    new Socket("127.0.0.1", fixture.gateway.address().getPort())) {
                client.getOutputStream()
                        .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: flow\r\n"
                                        + "wh-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                FakePeer.ReceivedRequest in = streaming.next();
                in.sendHeaders(SERVED, FOUND, false);
                in.sendData("first", false);
                StringBuilder read = new StringBuilder();
                while (!read.toString().contains("first")) {
                    int next = client.getInputStream().read();
                    assertTrue(next >= 0, () -> "closed before the first part: " + read);
                    read.append((char) next);
                }
                GatewayFixture.await("the start of the stream is counted", () -> fixture.metric("streams") == 1);
                Thread.sleep(400); // past the deadline, which no longer applies once the stream has started
                if (complete) {
                    in.sendData("last", true);
                } else {
                    in.closeConnection();
                }
                client.setSoTimeout(3000);
                int c = client.getInputStream().read();
                while (c >= 0 && !read.toString().endsWith("0\r\n\r\n")) {
                    read.append((char) c);
                    c = complete && read.toString().endsWith("0\r\n\r\n")
                            ? -1
                            : client.getInputStream().read();
                }
                assertEquals(complete, read.toString().endsWith("0\r\n\r\n"), read.toString());
            }
        }
    }

    @Test
    void shutdown_answersCallsInFlightAndAbortsTheRest() throws Exception {
        try (FakePeer worker = new FakePeer(null)) {
            GatewayFixture fixture = fixture("");
            fixture.announce(worker.id());
            CompletableFuture<HttpResponse<String>> served = fixture.call("safe", "f", 2400);
            FakePeer.ReceivedRequest first = worker.next();
            CompletableFuture<HttpResponse<String>> unanswered = fixture.call("once", "f", 2400);
            worker.next();
            CompletableFuture<Integer> stopped = CompletableFuture.supplyAsync(() -> {
                try {
                    return fixture.gateway.stop();
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
            });
            Thread.sleep(100);
            first.respond(SERVED, FOUND, "in time");
            assertEquals("in time", get(served).body());
            assertEquals("failed", answer(get(unanswered)));
            assertEquals(1, stopped.get(5, TimeUnit.SECONDS));
        }
    }
}

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

/** Faults of workers, connections and clients on real sockets. */
@Timeout(60)
class WorkerFaultTest {
    @TempDir
    private Path folder;

    private GatewayFixture rig(String workers) throws Exception {
        return new GatewayFixture(folder, workers, DispatcherFactory.CACHE_AWARE);
    }

    private static FakePeer serving() {
        return new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
    }

    @Test
    void connectionLostAfterHeaders_retriesOnlyIdempotentCalls() throws Exception {
        try (FakePeer dies = new FakePeer(FakePeer.ReceivedRequest::closeConnection);
                GatewayFixture rig = rig("")) {
            rig.announce(dies.id());
            HttpResponse<String> once = get(rig.call("once", "f", 2000));
            assertEquals("failed", answer(once), "may have run: no word that a retry is harmless");
            assertEquals(502, once.statusCode());
            assertTrue(once.headers().firstValue("wh-reason").orElse("").contains("connection-lost"));
            dies.next();
            assertTrue(dies.receivesNoCallWithin(100), "an at-most-once call went out twice");
        }
        try (FakePeer dies = new FakePeer(FakePeer.ReceivedRequest::closeConnection);
                FakePeer well = serving();
                GatewayFixture rig = rig("")) {
            rig.announce(dies.id(), well.id());
            for (int i = 0; i < 6; i++) {
                assertEquals("served", answer(get(rig.call("safe", "f" + i, 2000))));
            }
        }
    }

    @Test
    void goAway_provesOnlyStreamsAboveLastNotExecuted() throws Exception {
        try (FakePeer leaves = new FakePeer(null);
                FakePeer well = serving();
                GatewayFixture rig = rig("max-connections=\"1\"")) {
            rig.announce(leaves.id());
            CompletableFuture<HttpResponse<String>> below = rig.call("once", "f", 2400);
            FakePeer.ReceivedRequest first = leaves.next();
            CompletableFuture<HttpResponse<String>> above = rig.call("once", "f", 2400);
            FakePeer.ReceivedRequest second = leaves.next();
            assertTrue(second.streamId() > first.streamId());
            rig.announceChange(GatewayFixture.entry(well.id(), State.UP, "b0"));
            GatewayFixture.await("the list is told", () -> rig.metric("lists") >= 2);
            second.goAway(first.streamId());
            assertEquals("well", get(above).body(), "refused by the GOAWAY, so harmless to send elsewhere");
            first.respond(SERVED, FOUND, "from the one that leaves");
            assertEquals("from the one that leaves", get(below).body());
        }
    }

    @Test
    void refusedStream_isRetriedElsewhereAndResetStreamIsNot() throws Exception {
        try (FakePeer refuses = new FakePeer(in -> in.reset(Http2Error.REFUSED_STREAM));
                GatewayFixture rig = rig("")) {
            rig.announce(refuses.id());
            assertEquals("refused", answer(get(rig.call("once", "f", 2000))));
        }
        try (FakePeer resets = new FakePeer(in -> in.reset(Http2Error.INTERNAL_ERROR));
                GatewayFixture rig = rig("")) {
            rig.announce(resets.id());
            assertEquals("failed", answer(get(rig.call("once", "f", 2000))));
        }
    }

    @Test
    void responseAtDeadline_givesOneFinalAnswer() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (FakePeer slow = new FakePeer(in -> timer.schedule(
                        () -> in.respond(SERVED, FOUND, "well"),
                        60_000 - 4000 + in.streamId() % 64 * 100,
                        TimeUnit.MICROSECONDS));
                GatewayFixture rig = rig("second-copies=\"false\"")) {
            rig.announce(slow.id());
            get(rig.call("safe", "f", 2000));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                calls.add(rig.call("safe", "f", 60));
            }
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertTrue(List.of("served", "refused", "failed").contains(answer(get(call))));
            }
            GatewayFixture.await("nothing is open", () -> rig.metric("open_calls") == 0);
            assertEquals(201, rig.metric("taken"));
            assertEquals(201, rig.metric("served") + rig.metric("refused") + rig.metric("failed"));
        } finally {
            timer.shutdownNow();
        }
    }

    @Test
    void clientCancelDuringHedge_leavesNothingInFlight() throws Exception {
        try (FakePeer one = new FakePeer(null);
                FakePeer two = new FakePeer(null);
                GatewayFixture rig = rig("second-copies=\"true\"")) {
            rig.announce(one.id(), two.id());
            Socket client = new Socket("127.0.0.1", rig.gateway.address().getPort());
            client.getOutputStream()
                    .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\nwh-load-ms: 50\r\n"
                                    + "content-length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            FakePeer.ReceivedRequest first = one.next();
            FakePeer.ReceivedRequest second = two.next();
            client.close();
            GatewayFixture.await("the client's leaving is told", () -> rig.metric("left") == 1);
            first.respond(SERVED, FOUND, "late");
            second.respond(SERVED, FOUND, "late");
            GatewayFixture.await("late answers are counted", () -> rig.metric("late_answers") == 2);
            assertEquals(0, rig.metric("open_calls"));
            assertEquals(0, rig.metric("restarts"));
        }
    }

    @Test
    void drainBetweenDecisionAndSend_sendsNothing() throws Exception {
        try (FakePeer drains = new FakePeer(null);
                FakePeer well = serving();
                GatewayFixture rig = rig("dial-timeout-ms=\"590\"")) {
            drains.holdHandshakes = true;
            rig.announce(drains.id());
            CompletableFuture<HttpResponse<String>> call = rig.call("once", "f", 2400);
            GatewayFixture.await("the call waits for the connection", () -> drains.heldHandshakes() > 0);
            rig.announceChange(GatewayFixture.entry(well.id(), State.UP, "b0"));
            rig.announceChange(GatewayFixture.entry(drains.id(), State.DRAINING, "b0"));
            GatewayFixture.await("the drain is told", () -> rig.metric("lists") >= 3);
            drains.releaseHandshakes();
            assertEquals("well", get(call).body());
            assertTrue(drains.receivesNoCallWithin(200), "a call reached a worker that drains");
        }
    }

    @Test
    void restartedWorker_servesUnderItsOldAddress() throws Exception {
        FakePeer old = serving();
        int port = old.port();
        try (GatewayFixture rig = rig("")) {
            rig.announce(old.id());
            assertEquals("well", get(rig.call("safe", "f", 2000)).body());
            old.close();
            try (FakePeer again = new FakePeer(port, in -> in.respond(SERVED, FOUND, "new"))) {
                rig.announceChange(GatewayFixture.entry(again.id(), State.UP, "b1"));
                GatewayFixture.await("served anew", () -> {
                    try {
                        return get(rig.call("safe", "f", 2000)).body().equals("new");
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });
            }
        }
    }

    @Test
    void deadWorker_costsOneAttemptAndUnlistedWorkerGetsNothing() throws Exception {
        FakePeer dead = serving();
        String gone = dead.id();
        dead.close();
        try (FakePeer well = serving();
                FakePeer unlisted = serving();
                GatewayFixture rig = rig("")) {
            rig.announce(gone, well.id());
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        "well", get(rig.call("once", "f" + i, 2000)).body(), "a refused connect proves it never ran");
            }
            assertTrue(unlisted.receivesNoCallWithin(1));
        }
    }

    @Test
    void request_namesTheIntendedIncarnation() throws Exception {
        try (FakePeer worker =
                        new FakePeer(in -> in.respond(SERVED, FOUND, String.valueOf(in.headers.get("wh-boot"))));
                GatewayFixture rig = rig("")) {
            rig.announce(worker.id());
            assertEquals("b0", get(rig.call("once", "f", 2000)).body());
            rig.announceChange(GatewayFixture.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "b1"));
            assertEquals("b1", get(rig.call("once", "f", 2000)).body());
            rig.announceChange(GatewayFixture.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "-"));
            assertEquals("null", get(rig.call("once", "f", 2000)).body(), "the roster names none");
        }
    }

    @Test
    void endlessResponse_isCutOffAtLimit() throws Exception {
        try (FakePeer floods = new FakePeer(in -> {
                    in.sendHeaders(SERVED, FOUND, false);
                    in.flood(16_384);
                });
                GatewayFixture rig = rig("")) {
            rig.announce(floods.id());
            HttpResponse<String> response = get(rig.call("once", "f", 2000));
            assertEquals("failed", answer(response));
            assertTrue(response.headers().firstValue("wh-reason").orElse("").contains("too-large"));
            assertTrue(floods.resets.poll(2, TimeUnit.SECONDS) != null, "the stream was not reset");
            assertTrue(floods.floodedParts < 64, floods.floodedParts + " parts of 64 KB were taken of a limit of 1 MB");
        }
    }

    @Test
    void saturatedWorker_isNotPenalizedAndAnotherServes() throws Exception {
        try (FakePeer full = new FakePeer(in -> in.respond(FULL, NONE, ""));
                FakePeer well = serving();
                GatewayFixture rig = rig("")) {
            rig.announce(full.id(), well.id());
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                answers.add(answer(get(rig.call("once", "f" + i, 2000))));
            }
            assertTrue(answers.contains("served"), answers.toString());
            assertTrue(!answers.contains("failed"), "full proves that it never ran: " + answers);
        }
    }

    @Test
    void idleConnections_doNotBlockCalls() throws Exception {
        try (FakePeer well = serving();
                GatewayFixture rig = rig("")) {
            rig.announce(well.id());
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < 5000; i++) {
                    idle.add(new Socket("127.0.0.1", rig.gateway.address().getPort()));
                }
                GatewayFixture.await("all stand", () -> rig.metric("connections") >= 5000);
                assertEquals("well", get(rig.call("safe", "f", 2000)).body());
                for (int i = 0; i < 1100; i++) {
                    idle.add(new Socket("127.0.0.1", rig.gateway.address().getPort()));
                }
                GatewayFixture.await("those over the cap are closed", () -> rig.metric("connections_turned_away") > 0);
            } finally {
                for (Socket socket : idle) {
                    socket.close();
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stream_isPassedOnAsItComesAndBrokenStreamDoesNotLookComplete(boolean whole) throws Exception {
        try (FakePeer flows = new FakePeer(null);
                GatewayFixture rig = rig("")) {
            rig.announce(flows.id());
            try (Socket client = new Socket("127.0.0.1", rig.gateway.address().getPort())) {
                client.getOutputStream()
                        .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: flow\r\n"
                                        + "wh-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                FakePeer.ReceivedRequest in = flows.next();
                in.sendHeaders(SERVED, FOUND, false);
                in.sendData("first", false);
                StringBuilder read = new StringBuilder();
                while (!read.toString().contains("first")) {
                    int next = client.getInputStream().read();
                    assertTrue(next >= 0, () -> "closed before the first part: " + read);
                    read.append((char) next);
                }
                GatewayFixture.await("told as established", () -> rig.metric("streams") == 1);
                Thread.sleep(400); // past the deadline, which no longer runs
                if (whole) {
                    in.sendData("last", true);
                } else {
                    in.closeConnection();
                }
                client.setSoTimeout(3000);
                int c = client.getInputStream().read();
                while (c >= 0 && !read.toString().endsWith("0\r\n\r\n")) {
                    read.append((char) c);
                    c = whole && read.toString().endsWith("0\r\n\r\n")
                            ? -1
                            : client.getInputStream().read();
                }
                assertEquals(whole, read.toString().endsWith("0\r\n\r\n"), read.toString());
            }
        }
    }

    @Test
    void shutdown_answersCallsInFlightAndAbortsTheRest() throws Exception {
        try (FakePeer waits = new FakePeer(null)) {
            GatewayFixture rig = rig("");
            rig.announce(waits.id());
            CompletableFuture<HttpResponse<String>> served = rig.call("safe", "f", 2400);
            FakePeer.ReceivedRequest first = waits.next();
            CompletableFuture<HttpResponse<String>> never = rig.call("once", "f", 2400);
            waits.next();
            CompletableFuture<Integer> stopped = CompletableFuture.supplyAsync(() -> {
                try {
                    return rig.gateway.stop();
                } catch (InterruptedException e) {
                    throw new AssertionError(e);
                }
            });
            Thread.sleep(100);
            first.respond(SERVED, FOUND, "in time");
            assertEquals("in time", get(served).body());
            assertEquals("failed", answer(get(never)));
            assertEquals(1, stopped.get(5, TimeUnit.SECONDS));
        }
    }
}

package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.gateway.Rig.answer;
import static wharfhinge.gateway.Rig.get;
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

/** What goes wrong on real sockets, case by case. */
@Timeout(60)
class HardCasesTest {
    @TempDir
    private Path folder;

    private Rig rig(String workers) throws Exception {
        return new Rig(folder, workers, DispatcherFactory.CACHE_AWARE);
    }

    private static ScriptedPeer serving() {
        return new ScriptedPeer(in -> in.answer(SERVED, FOUND, "well"));
    }

    @Test
    void aWorkerThatDiesAfterTheHeadersIsRepeatedOnlyWhereThatIsSafe() throws Exception {
        try (ScriptedPeer dies = new ScriptedPeer(ScriptedPeer.In::breakConnection);
                Rig rig = rig("")) {
            rig.list(dies.id());
            HttpResponse<String> once = get(rig.call("once", "f", 2000));
            assertEquals("failed", answer(once), "may have run: no word that a retry is harmless");
            assertEquals(502, once.statusCode());
            assertTrue(once.headers().firstValue("wh-reason").orElse("").contains("connection-lost"));
            dies.next();
            assertTrue(dies.gotNothingWithin(100), "an at-most-once call went out twice");
        }
        try (ScriptedPeer dies = new ScriptedPeer(ScriptedPeer.In::breakConnection);
                ScriptedPeer well = serving();
                Rig rig = rig("")) {
            rig.list(dies.id(), well.id());
            for (int i = 0; i < 6; i++) {
                assertEquals("served", answer(get(rig.call("safe", "f" + i, 2000))));
            }
        }
    }

    @Test
    void aGoAwayProvesThatOnlyCallsAboveItsLastStreamNeverRan() throws Exception {
        try (ScriptedPeer leaves = new ScriptedPeer(null);
                ScriptedPeer well = serving();
                Rig rig = rig("max-connections=\"1\"")) {
            rig.list(leaves.id());
            CompletableFuture<HttpResponse<String>> below = rig.call("once", "f", 2400);
            ScriptedPeer.In first = leaves.next();
            CompletableFuture<HttpResponse<String>> above = rig.call("once", "f", 2400);
            ScriptedPeer.In second = leaves.next();
            assertTrue(second.streamId() > first.streamId());
            rig.change(Rig.entry(well.id(), State.UP, "b0"));
            Rig.await("the list is told", () -> rig.figure("lists") >= 2);
            second.goAway(first.streamId());
            assertEquals("well", get(above).body(), "refused by the GOAWAY, so harmless to send elsewhere");
            first.answer(SERVED, FOUND, "from the one that leaves");
            assertEquals("from the one that leaves", get(below).body());
        }
    }

    @Test
    void aRefusedStreamIsTriedElsewhereAndAResetOneIsNot() throws Exception {
        try (ScriptedPeer refuses = new ScriptedPeer(in -> in.reset(Http2Error.REFUSED_STREAM));
                Rig rig = rig("")) {
            rig.list(refuses.id());
            assertEquals("refused", answer(get(rig.call("once", "f", 2000))));
        }
        try (ScriptedPeer resets = new ScriptedPeer(in -> in.reset(Http2Error.INTERNAL_ERROR));
                Rig rig = rig("")) {
            rig.list(resets.id());
            assertEquals("failed", answer(get(rig.call("once", "f", 2000))));
        }
    }

    @Test
    void anAnswerInTheDeadlinesMillisecondGivesOneFinalAnswer() throws Exception {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (ScriptedPeer slow = new ScriptedPeer(in -> timer.schedule(
                        () -> in.answer(SERVED, FOUND, "well"),
                        60_000 - 4000 + in.streamId() % 64 * 100,
                        TimeUnit.MICROSECONDS));
                Rig rig = rig("second-copies=\"false\"")) {
            rig.list(slow.id());
            get(rig.call("safe", "f", 2000));
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                calls.add(rig.call("safe", "f", 60));
            }
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertTrue(List.of("served", "refused", "failed").contains(answer(get(call))));
            }
            Rig.await("nothing is open", () -> rig.figure("open_calls") == 0);
            assertEquals(201, rig.figure("taken"));
            assertEquals(201, rig.figure("served") + rig.figure("refused") + rig.figure("failed"));
        } finally {
            timer.shutdownNow();
        }
    }

    @Test
    void aClientThatLeavesWhileASecondCopyIsOutLeavesNothingOpen() throws Exception {
        try (ScriptedPeer one = new ScriptedPeer(null);
                ScriptedPeer two = new ScriptedPeer(null);
                Rig rig = rig("second-copies=\"true\"")) {
            rig.list(one.id(), two.id());
            Socket client = new Socket("127.0.0.1", rig.gateway.address().getPort());
            client.getOutputStream()
                    .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: safe\r\nwh-load-ms: 50\r\n"
                                    + "content-length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            ScriptedPeer.In first = one.next();
            ScriptedPeer.In second = two.next();
            client.close();
            Rig.await("the client's leaving is told", () -> rig.figure("left") == 1);
            first.answer(SERVED, FOUND, "late");
            second.answer(SERVED, FOUND, "late");
            Rig.await("late answers are counted", () -> rig.figure("late_answers") == 2);
            assertEquals(0, rig.figure("open_calls"));
            assertEquals(0, rig.figure("restarts"));
        }
    }

    @Test
    void aDrainToldBetweenDecisionAndSendHoldsTheCallBack() throws Exception {
        try (ScriptedPeer drains = new ScriptedPeer(null);
                ScriptedPeer well = serving();
                Rig rig = rig("dial-timeout-ms=\"590\"")) {
            drains.holdHandshakes = true;
            rig.list(drains.id());
            CompletableFuture<HttpResponse<String>> call = rig.call("once", "f", 2400);
            Rig.await("the call waits for the connection", () -> drains.heldHandshakes() > 0);
            rig.change(Rig.entry(well.id(), State.UP, "b0"));
            rig.change(Rig.entry(drains.id(), State.DRAINING, "b0"));
            Rig.await("the drain is told", () -> rig.figure("lists") >= 3);
            drains.letHandshakesGo();
            assertEquals("well", get(call).body());
            assertTrue(drains.gotNothingWithin(200), "a call reached a worker that drains");
        }
    }

    @Test
    void aWorkerBackUnderItsAddressIsServedByItsNewProcess() throws Exception {
        ScriptedPeer old = serving();
        int port = old.port();
        try (Rig rig = rig("")) {
            rig.list(old.id());
            assertEquals("well", get(rig.call("safe", "f", 2000)).body());
            old.close();
            try (ScriptedPeer again = new ScriptedPeer(port, in -> in.answer(SERVED, FOUND, "new"))) {
                rig.change(Rig.entry(again.id(), State.UP, "b1"));
                Rig.await("served anew", () -> {
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
    void deadWorkersInTheListCostATryAndUnlistedOnesGetNothing() throws Exception {
        ScriptedPeer dead = serving();
        String gone = dead.id();
        dead.close();
        try (ScriptedPeer well = serving();
                ScriptedPeer unlisted = serving();
                Rig rig = rig("")) {
            rig.list(gone, well.id());
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        "well", get(rig.call("once", "f" + i, 2000)).body(), "a refused connect proves it never ran");
            }
            assertTrue(unlisted.gotNothingWithin(1));
        }
    }

    @Test
    void requestsNameTheProcessThatTheyAreMeantFor() throws Exception {
        try (ScriptedPeer worker =
                        new ScriptedPeer(in -> in.answer(SERVED, FOUND, String.valueOf(in.headers.get("wh-boot"))));
                Rig rig = rig("")) {
            rig.list(worker.id());
            assertEquals("b0", get(rig.call("once", "f", 2000)).body());
            rig.change(Rig.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "b1"));
            assertEquals("b1", get(rig.call("once", "f", 2000)).body());
            rig.change(Rig.entry(worker.id(), wharfhinge.protocol.RosterEntry.State.UP, "-"));
            assertEquals("null", get(rig.call("once", "f", 2000)).body(), "the roster names none");
        }
    }

    @Test
    void anAnswerWithoutEndIsCutOffAtItsLimit() throws Exception {
        try (ScriptedPeer floods = new ScriptedPeer(in -> {
                    in.head(SERVED, FOUND, false);
                    in.flood(16_384);
                });
                Rig rig = rig("")) {
            rig.list(floods.id());
            HttpResponse<String> response = get(rig.call("once", "f", 2000));
            assertEquals("failed", answer(response));
            assertTrue(response.headers().firstValue("wh-reason").orElse("").contains("too-large"));
            assertTrue(floods.resets.poll(2, TimeUnit.SECONDS) != null, "the stream was not reset");
            assertTrue(floods.flooded < 64, floods.flooded + " parts of 64 KB were taken of a limit of 1 MB");
        }
    }

    @Test
    void aFullWorkerIsNotHarmedAndAnotherServes() throws Exception {
        try (ScriptedPeer full = new ScriptedPeer(in -> in.answer(FULL, NONE, ""));
                ScriptedPeer well = serving();
                Rig rig = rig("")) {
            rig.list(full.id(), well.id());
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                answers.add(answer(get(rig.call("once", "f" + i, 2000))));
            }
            assertTrue(answers.contains("served"), answers.toString());
            assertTrue(!answers.contains("failed"), "full proves that it never ran: " + answers);
        }
    }

    @Test
    void fiveThousandIdleConnectionsDoNotKeepACallOut() throws Exception {
        try (ScriptedPeer well = serving();
                Rig rig = rig("")) {
            rig.list(well.id());
            List<Socket> idle = new ArrayList<>();
            try {
                for (int i = 0; i < 5000; i++) {
                    idle.add(new Socket("127.0.0.1", rig.gateway.address().getPort()));
                }
                Rig.await("all stand", () -> rig.figure("connections") >= 5000);
                assertEquals("well", get(rig.call("safe", "f", 2000)).body());
                for (int i = 0; i < 1100; i++) {
                    idle.add(new Socket("127.0.0.1", rig.gateway.address().getPort()));
                }
                Rig.await("those over the cap are closed", () -> rig.figure("connections_turned_away") > 0);
            } finally {
                for (Socket socket : idle) {
                    socket.close();
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aStreamFlowsAsItComesAndABrokenOneDoesNotLookWhole(boolean whole) throws Exception {
        try (ScriptedPeer flows = new ScriptedPeer(null);
                Rig rig = rig("")) {
            rig.list(flows.id());
            try (Socket client = new Socket("127.0.0.1", rig.gateway.address().getPort())) {
                client.getOutputStream()
                        .write(("POST /v1/call/f HTTP/1.1\r\nhost: x\r\nwh-class: flow\r\n"
                                        + "wh-deadline-ms: 300\r\ncontent-length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                ScriptedPeer.In in = flows.next();
                in.head(SERVED, FOUND, false);
                in.part("first", false);
                StringBuilder read = new StringBuilder();
                while (!read.toString().contains("first")) {
                    read.append((char) client.getInputStream().read());
                }
                Rig.await("told as established", () -> rig.figure("streams") == 1);
                Thread.sleep(400); // past the deadline, which no longer runs
                if (whole) {
                    in.part("last", true);
                } else {
                    in.breakConnection();
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
    void stoppingAnswersWhatIsOpenAndEndsWhatIsNot() throws Exception {
        try (ScriptedPeer waits = new ScriptedPeer(null)) {
            Rig rig = rig("");
            rig.list(waits.id());
            CompletableFuture<HttpResponse<String>> served = rig.call("safe", "f", 2400);
            ScriptedPeer.In first = waits.next();
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
            first.answer(SERVED, FOUND, "in time");
            assertEquals("in time", get(served).body());
            assertEquals("failed", answer(get(never)));
            assertEquals(1, stopped.get(5, TimeUnit.SECONDS));
        }
    }
}

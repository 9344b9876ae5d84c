package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.gateway.GatewayFixture.answer;
import static wharfhinge.gateway.GatewayFixture.get;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/** Tests the engine over real transports: dispatcher actions, queue limits, and a dispatcher that throws. */
@Timeout(60)
class EngineOverSocketsTest {
    @TempDir
    private Path folder;

    /** Records the events that it receives; a test overrides what it does about them. */
    private static class RecordingDispatcher implements Dispatcher {
        final DispatcherActions actions;
        final List<String> events = Collections.synchronizedList(new ArrayList<>());
        long lastNanos;
        boolean insideCallback;

        RecordingDispatcher(DispatcherActions actions) {
            this.actions = actions;
        }

        void recordEvent(long now, String event) {
            assertTrue(now >= lastNanos, "time went backwards");
            assertTrue(!insideCallback, "event delivered while another was being handled");
            lastNanos = now;
            events.add(event);
        }

        @Override
        public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
            recordEvent(now, "members " + mode + ' ' + entries.size());
        }

        @Override
        public void onRequest(long now, Request request) {
            recordEvent(now, "query " + request.function());
        }

        @Override
        public void onClientCancelled(long now, String request) {
            recordEvent(now, "left");
        }

        @Override
        public void onStreamStarted(long now, String request, int attempt, String worker) {
            recordEvent(now, "established");
        }

        @Override
        public void onProbeCompleted(
                long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
            recordEvent(now, "probed " + outcome + ' ' + report.get("rif"));
        }

        @Override
        public void onPeerMessage(long now, int peer, byte[] payload) {
            recordEvent(now, "inbox " + peer);
        }

        @Override
        public void onTimer(long now, String token) {
            recordEvent(now, "due " + token);
        }

        @Override
        public void onAttemptCompleted(long now, AttemptCompletion c) {
            recordEvent(
                    now, "completed " + c.attempt() + ' ' + c.outcome() + ' ' + c.cacheStatus() + ' ' + c.answered());
        }

        @Override
        public void onLoadCompleted(
                long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
            recordEvent(now, "resident " + outcome + ' ' + count);
        }
    }

    @Test
    void eachAction_takesEffectWithoutReentrantCallback() throws Exception {
        CompletableFuture<RecordingDispatcher> created = new CompletableFuture<>();
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
                FakePeer silent = new FakePeer(null);
                GatewayFixture fixture =
                        new GatewayFixture(folder, "max-attempts=\"3\"", (now, seed, settings, actions) -> {
                            RecordingDispatcher recording = new RecordingDispatcher(actions) {
                                @Override
                                public void onRequest(long at, Request r) {
                                    super.onRequest(at, r);
                                    insideCallback = true;
                                    actions.ensureLoaded(worker.id(), r.function(), 1);
                                    actions.unload(worker.id(), r.function());
                                    actions.probe(worker.id());
                                    actions.scheduleTimer("t", 0);
                                    actions.sendAttempt(r.id(), silent.id(), 0);
                                    actions.sendAttempt(r.id(), silent.id(), 30_000_000);
                                    actions.cancelAttempt(r.id(), 0);
                                    actions.sendAttempt(r.id(), worker.id(), 0);
                                    actions.sendAttempt(
                                            r.id(), worker.id(), 0); // exceeds max-attempts, so it is superseded
                                    actions.sendAttempt("unheard-of", worker.id(), 0);
                                    insideCallback = false;
                                }
                            };
                            created.complete(recording);
                            return recording;
                        })) {
            fixture.announce(worker.id(), silent.id());
            assertEquals("well", get(fixture.call("safe", "f", 1000)).body());
            List<String> events = created.get().events;
            for (String expected : List.of(
                    "members SNAPSHOT 0",
                    "members FULL 2",
                    "query f",
                    "due t",
                    "resident SERVED 1",
                    "probed SERVED 1.0",
                    "completed 0 CANCELLED UNKNOWN ",
                    "completed 1 TIMEOUT UNKNOWN ",
                    "completed 2 SERVED HIT true",
                    "completed 3 SUPERSEDED UNKNOWN ")) {
                GatewayFixture.await(expected + " in " + events, () -> List.copyOf(events).stream()
                        .anyMatch(t -> t.startsWith(expected)));
            }
            assertEquals(2, worker.nonCalls.size() - 1, "a load, an unload and a probe were sent");
        }
    }

    @Test
    void throwingDispatcher_answersEachCallOnceAndIsReplaced() throws Exception {
        List<RecordingDispatcher> dispatchers = Collections.synchronizedList(new ArrayList<>());
        try (FakePeer silent = new FakePeer(null);
                GatewayFixture fixture = new GatewayFixture(folder, "", (now, seed, settings, actions) -> {
                    dispatchers.add(new RecordingDispatcher(actions) {
                        @Override
                        public void onRequest(long at, Request r) {
                            super.onRequest(at, r);
                            if (r.function().equals("bad")) {
                                throw new IllegalStateException("on purpose");
                            } else if (r.function().equals("sent")) {
                                actions.sendAttempt(r.id(), silent.id(), 0);
                            } else if (dispatchers.size() > 1) {
                                actions.reject(r.id(), 0);
                            }
                        }
                    });
                    return dispatchers.get(dispatchers.size() - 1);
                })) {
            fixture.announce(silent.id());
            CompletableFuture<HttpResponse<String>> sentCall = fixture.call("once", "sent", 2000);
            silent.next();
            CompletableFuture<HttpResponse<String>> unsentCall = fixture.call("once", "held", 2000);
            GatewayFixture.await("both calls are in flight", () -> fixture.metric("open_calls") == 2);
            CompletableFuture<HttpResponse<String>> failingCall = fixture.call("safe", "bad", 2000);
            assertEquals("failed", answer(get(sentCall)), "a sent call is possibly executed");
            assertEquals("refused", answer(get(unsentCall)), "an unsent call is not executed");
            assertEquals("refused", answer(get(failingCall)));
            assertEquals(1, fixture.metric("restarts"));
            GatewayFixture.await(
                    "the new dispatcher receives events",
                    () -> dispatchers.size() == 2 && !dispatchers.get(1).events.isEmpty());
            assertEquals(
                    "members SNAPSHOT 1",
                    dispatchers.get(1).events.get(0),
                    "the new dispatcher receives the held list first");
            assertEquals("refused", answer(get(fixture.call("safe", "next", 2000))));
            assertEquals(0, fixture.metric("open_calls"));
        }
    }

    @Test
    void fullSubmissionQueue_rejectsCallsBeforeAcceptingThem() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (GatewayFixture fixture = new GatewayFixture(
                folder, "", "hand-over=\"2\"", (now, seed, settings, actions) -> new RecordingDispatcher(actions) {
                    @Override
                    public void onRequest(long at, Request r) {
                        super.onRequest(at, r);
                        try {
                            release.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        actions.reject(r.id(), 0);
                    }
                })) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(fixture.call("safe", "f", 2000));
            }
            GatewayFixture.await(
                    "excess calls are rejected at the queue", () -> fixture.metric("turned_away_hand_over") >= 5);
            assertEquals(0, fixture.metric("refused"));
            release.countDown();
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals("refused", answer(get(call)));
            }
            assertEquals(8, fixture.metric("taken") + fixture.metric("turned_away_hand_over"));
            assertTrue(fixture.metric("event_age_us_max") > 0);
        }
    }

    @Test
    void peers_exchangeMessages() throws Exception {
        CompletableFuture<RecordingDispatcher> one = new CompletableFuture<>();
        CompletableFuture<RecordingDispatcher> two = new CompletableFuture<>();
        int first;
        int second;
        try (java.net.DatagramSocket a = new java.net.DatagramSocket();
                java.net.DatagramSocket b = new java.net.DatagramSocket()) {
            first = a.getLocalPort();
            second = b.getLocalPort();
        }
        String peers = "<peers><peer number=\"0\" address=\"127.0.0.1:" + first
                + "\"/><peer number=\"1\" address=\"127.0.0.1:" + second + "\"/></peers><log/>";
        Gateway[] gateways = new Gateway[2];
        for (int i = 0; i < 2; i++) {
            Path file = folder.resolve("gw" + i + ".xml");
            java.nio.file.Files.writeString(
                    file,
                    GatewayFixture.SETTINGS
                            .replace("CLIENTS", "")
                            .replace("WORKERS", "")
                            .replace("ROSTER", "1")
                            .replace("zone=\"z\"", "zone=\"z\" group=\"2\" number=\"" + i + "\"")
                            .replace("</wharfhinge>", peers + "</wharfhinge>")
                            .replace("remembered=\"list\"", "remembered=\"l" + i + "\""));
            CompletableFuture<RecordingDispatcher> created = i == 0 ? one : two;
            gateways[i] = new Gateway(
                    wharfhinge.config.GatewayConfig.load(file),
                    (now, seed, settings, actions) -> {
                        created.complete(new RecordingDispatcher(actions));
                        return created.join();
                    },
                    null);
            gateways[i].start();
        }
        one.get().actions.sendToPeers(-1, new byte[] {1, 2});
        GatewayFixture.await(
                "the message arrives at the peer", () -> two.join().events.contains("inbox 0"));
        gateways[0].stop();
        gateways[1].stop();
    }

    @Test
    void cacheAwareDispatcher_servesFirstCall() throws Exception {
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
                GatewayFixture fixture = new GatewayFixture(folder, "", CacheAwareDispatcher::new)) {
            fixture.announce(worker.id());
            assertEquals("well", get(fixture.call("once", "f", 2000)).body());
        }
    }
}

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

/** The engine with real transports: its actions, its limits, and a dispatcher that throws. */
@Timeout(60)
class EngineOverSocketsTest {
    @TempDir
    private Path folder;

    /** Decisions that note what they are told and do as a test says. */
    private static class Noting implements Dispatcher {
        final DispatcherActions actions;
        final List<String> told = Collections.synchronizedList(new ArrayList<>());
        long last;
        boolean within;

        Noting(DispatcherActions actions) {
            this.actions = actions;
        }

        void note(long now, String what) {
            assertTrue(now >= last, "time ran backwards");
            assertTrue(!within, "told of an event while another was handled");
            last = now;
            told.add(what);
        }

        @Override
        public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
            note(now, "members " + mode + ' ' + entries.size());
        }

        @Override
        public void onRequest(long now, Request request) {
            note(now, "query " + request.function());
        }

        @Override
        public void onClientCancelled(long now, String request) {
            note(now, "left");
        }

        @Override
        public void onStreamStarted(long now, String request, int attempt, String worker) {
            note(now, "established");
        }

        @Override
        public void onProbeCompleted(
                long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
            note(now, "probed " + outcome + ' ' + report.get("rif"));
        }

        @Override
        public void onPeerMessage(long now, int peer, byte[] payload) {
            note(now, "inbox " + peer);
        }

        @Override
        public void onTimer(long now, String token) {
            note(now, "due " + token);
        }

        @Override
        public void onAttemptCompleted(long now, AttemptCompletion c) {
            note(now, "completed " + c.attempt() + ' ' + c.outcome() + ' ' + c.cacheStatus() + ' ' + c.answered());
        }

        @Override
        public void onLoadCompleted(
                long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
            note(now, "resident " + outcome + ' ' + count);
        }
    }

    @Test
    void eachAction_takesEffectWithoutReentrance() throws Exception {
        CompletableFuture<Noting> made = new CompletableFuture<>();
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
                FakePeer silent = new FakePeer(null);
                GatewayFixture rig =
                        new GatewayFixture(folder, "max-attempts=\"3\"", (now, seed, settings, actions) -> {
                            Noting noting = new Noting(actions) {
                                @Override
                                public void onRequest(long at, Request r) {
                                    super.onRequest(at, r);
                                    within = true;
                                    actions.ensureLoaded(worker.id(), r.function(), 1);
                                    actions.unload(worker.id(), r.function());
                                    actions.probe(worker.id());
                                    actions.scheduleTimer("t", 0);
                                    actions.sendAttempt(r.id(), silent.id(), 0);
                                    actions.sendAttempt(r.id(), silent.id(), 30_000_000);
                                    actions.cancelAttempt(r.id(), 0);
                                    actions.sendAttempt(r.id(), worker.id(), 0);
                                    actions.sendAttempt(r.id(), worker.id(), 0); // one more than there may be
                                    actions.sendAttempt("unheard-of", worker.id(), 0);
                                    within = false;
                                }
                            };
                            made.complete(noting);
                            return noting;
                        })) {
            rig.announce(worker.id(), silent.id());
            assertEquals("well", get(rig.call("safe", "f", 1000)).body());
            List<String> told = made.get().told;
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
                GatewayFixture.await(expected + " in " + told, () -> List.copyOf(told).stream()
                        .anyMatch(t -> t.startsWith(expected)));
            }
            assertEquals(2, worker.nonCalls.size() - 1, "a hold, an unload and a probe went out");
        }
    }

    @Test
    void throwingDispatcher_answersEachCallOnceAndIsReplaced() throws Exception {
        List<Noting> lives = Collections.synchronizedList(new ArrayList<>());
        try (FakePeer silent = new FakePeer(null);
                GatewayFixture rig = new GatewayFixture(folder, "", (now, seed, settings, actions) -> {
                    lives.add(new Noting(actions) {
                        @Override
                        public void onRequest(long at, Request r) {
                            super.onRequest(at, r);
                            if (r.function().equals("bad")) {
                                throw new IllegalStateException("on purpose");
                            } else if (r.function().equals("sent")) {
                                actions.sendAttempt(r.id(), silent.id(), 0);
                            } else if (lives.size() > 1) {
                                actions.reject(r.id(), 0);
                            }
                        }
                    });
                    return lives.get(lives.size() - 1);
                })) {
            rig.announce(silent.id());
            CompletableFuture<HttpResponse<String>> sent = rig.call("once", "sent", 2000);
            silent.next();
            CompletableFuture<HttpResponse<String>> held = rig.call("once", "held", 2000);
            GatewayFixture.await("both are open", () -> rig.metric("open_calls") == 2);
            CompletableFuture<HttpResponse<String>> bad = rig.call("safe", "bad", 2000);
            assertEquals("failed", answer(get(sent)), "it may have run");
            assertEquals("refused", answer(get(held)), "it was never sent");
            assertEquals("refused", answer(get(bad)));
            assertEquals(1, rig.metric("restarts"));
            GatewayFixture.await(
                    "the new life is told",
                    () -> lives.size() == 2 && !lives.get(1).told.isEmpty());
            assertEquals("members SNAPSHOT 1", lives.get(1).told.get(0), "the list held is told anew");
            assertEquals("refused", answer(get(rig.call("safe", "next", 2000))));
            assertEquals(0, rig.metric("open_calls"));
        }
    }

    @Test
    void fullSubmissionQueue_rejectsCallsBeforeAcceptingThem() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        try (GatewayFixture rig = new GatewayFixture(
                folder, "", "hand-over=\"2\"", (now, seed, settings, actions) -> new Noting(actions) {
                    @Override
                    public void onRequest(long at, Request r) {
                        super.onRequest(at, r);
                        try {
                            stuck.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        actions.reject(r.id(), 0);
                    }
                })) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(rig.call("safe", "f", 2000));
            }
            GatewayFixture.await("some are turned away", () -> rig.metric("turned_away_hand_over") >= 5);
            assertEquals(0, rig.metric("refused"));
            stuck.countDown();
            for (CompletableFuture<HttpResponse<String>> call : calls) {
                assertEquals("refused", answer(get(call)));
            }
            assertEquals(8, rig.metric("taken") + rig.metric("turned_away_hand_over"));
            assertTrue(rig.metric("event_age_us_max") > 0);
        }
    }

    @Test
    void peers_exchangeMessages() throws Exception {
        CompletableFuture<Noting> one = new CompletableFuture<>();
        CompletableFuture<Noting> two = new CompletableFuture<>();
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
            CompletableFuture<Noting> made = i == 0 ? one : two;
            gateways[i] = new Gateway(
                    wharfhinge.config.GatewayConfig.load(file),
                    (now, seed, settings, actions) -> {
                        made.complete(new Noting(actions));
                        return made.join();
                    },
                    null);
            gateways[i].start();
        }
        one.get().actions.sendToPeers(-1, new byte[] {1, 2});
        GatewayFixture.await("it arrives", () -> two.join().told.contains("inbox 0"));
        gateways[0].stop();
        gateways[1].stop();
    }

    @Test
    void cacheAwareDispatcher_servesFirstCall() throws Exception {
        try (FakePeer worker = new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
                GatewayFixture rig = new GatewayFixture(folder, "", CacheAwareDispatcher::new)) {
            rig.announce(worker.id());
            assertEquals("well", get(rig.call("once", "f", 2000)).body());
        }
    }
}

package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Random legal events, without any model of servers, under a check of rules 1, 2, 3 and 5. */
class RandomEventsTest {
    private static final long MS = FakeDispatcherHost.MS;
    private static final List<String> IDS = List.of("b", "c", "d", "x", "y", "z");

    private record Sent(String request, int attempt, String worker, long at) {}

    private FakeDispatcherHost host;
    private Effect effect;
    private boolean hedging;
    private int read;
    private final List<Sent> inFlight = new ArrayList<>();
    private final Map<String, Long> open = new HashMap<>();
    private final Map<String, List<Sent>> possiblyExecuted = new HashMap<>();
    private final Map<String, Integer> sent = new HashMap<>();
    private final Map<String, Boolean> up = new HashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private final List<String> orders = new ArrayList<>();
    private final List<Long> orderTimes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();

    @Test
    void randomEvents_keepTheProtocolRules() {
        for (Effect e : Effect.values()) {
            for (OnMissBehavior onMiss : OnMissBehavior.values()) {
                for (int seed = 0; seed < 6; seed++) {
                    play(e, onMiss, seed % 2 == 0, seed);
                }
            }
        }
    }

    private void play(Effect e, OnMissBehavior onMiss, boolean mayHedge, long seed) {
        effect = e;
        hedging = mayHedge;
        read = 0;
        List.of(inFlight, orders, orderTimes, arrivals).forEach(List::clear);
        List.of(open, possiblyExecuted, sent, up, timers).forEach(Map::clear);
        host = new FakeDispatcherHost(
                FakeDispatcherHost.settings(e, DeduplicationScope.ZONE, onMiss, mayHedge, 3000 * MS), seed);
        host.answersResidencyQueries = false;
        check();
        IDS.forEach(id -> up.put(id, true));
        host.listWorkers(IDS.toArray(new String[0]));
        Random random = new Random(seed);
        for (int step = 0; step < 4000; step++) {
            host.advanceMillis(random.nextInt(4) == 0 ? 0 : 4); // several events in one instant, in any order
            event(random);
            fireTimers();
            for (Map.Entry<String, Long> r : open.entrySet()) {
                assertTrue(host.now <= r.getValue() + 16 * MS, "no final answer in time for " + r.getKey());
            }
        }
    }

    private void event(Random random) {
        int kind = random.nextInt(10);
        if (kind < 4) {
            arrivals.add(host.now);
            int before = host.actions.size();
            open.put("q" + sent.size(), host.now + 2500 * MS);
            sent.put("q" + sent.size(), 0);
            host.sendRequest("f" + random.nextInt(8));
            assertTrue(host.actions.size() > before);
        } else if (kind < 8 && !inFlight.isEmpty()) {
            Sent o = inFlight.remove(random.nextInt(inFlight.size()));
            Outcome outcome = Outcome.values()[random.nextInt(9)];
            boolean proves = outcome == Outcome.SATURATED
                    || outcome == Outcome.NOT_LOADED
                    || outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.SUPERSEDED;
            if (proves) {
                possiblyExecuted.get(o.request()).remove(o);
            }
            boolean settled = outcome == Outcome.SERVED || !open.containsKey(o.request());
            if (settled) {
                open.remove(o.request());
            }
            host.dispatcher.onAttemptCompleted(
                    host.now,
                    new AttemptCompletion(
                            o.request(),
                            outcome,
                            o.attempt(),
                            host.now - o.at(),
                            o.worker(),
                            CacheStatus.UNKNOWN,
                            0,
                            settled,
                            Map.of()));
        } else if (kind == 8 && !orders.isEmpty()) {
            String[] order = orders.remove(random.nextInt(orders.size())).split(" ");
            boolean ok = random.nextBoolean();
            host.dispatcher.onLoadCompleted(
                    host.now, order[1], order[2], ok ? 1 : 0, ok ? Outcome.SERVED : Outcome.ERROR, 50 * MS);
        } else if (kind == 9 && random.nextInt(8) == 0) {
            String id = IDS.get(random.nextInt(IDS.size()));
            boolean isUp = random.nextInt(3) > 0;
            up.put(id, isUp);
            host.updateWorker(id, isUp ? Availability.UP : Availability.DRAINING, random.nextBoolean() ? host.now : 0);
        } else if (kind == 9 && !open.isEmpty()) { // queued, waiting for a load, in flight, or between two attempts
            String id = List.copyOf(open.keySet()).get(random.nextInt(open.size()));
            open.remove(id);
            host.dispatcher.onClientCancelled(host.now, id);
        }
        check();
    }

    private void fireTimers() {
        while (!timers.isEmpty() && timers.firstKey() <= host.now) {
            for (String token : timers.pollFirstEntry().getValue()) {
                host.fireTimer(token);
                check();
            }
        }
    }

    private void check() {
        for (; read < host.actions.size(); read++) {
            String[] w = host.actions.get(read).split(" ");
            switch (w[0]) {
                case "timer" -> timers.computeIfAbsent(
                                host.now + Math.max(1, Long.parseLong(w[2])), k -> new ArrayList<>())
                        .add(w[1]);
                case "attempt" -> attempt(w[1], w[2]);
                case "reject" -> {
                    assertTrue(open.remove(w[1]) != null, "second answer for " + w[1]);
                    assertTrue(
                            effect == Effect.IDEMPOTENT
                                    || possiblyExecuted
                                            .getOrDefault(w[1], List.of())
                                            .isEmpty(),
                            "rejected what may have run");
                }
                case "fail" -> assertTrue(open.remove(w[1]) != null, "second answer for " + w[1]);
                case "ensureLoaded" -> order(w[1]);
                default -> {}
            }
        }
    }

    private void attempt(String request, String worker) {
        assertTrue(open.containsKey(request), "sent after its end");
        assertTrue(up.get(worker), "sent to a draining worker");
        List<Sent> before = possiblyExecuted.computeIfAbsent(request, k -> new ArrayList<>());
        if (!hedging) {
            assertFalse(inFlight.stream().anyMatch(o -> o.request().equals(request)), "two at once");
        }
        if (effect == Effect.AT_MOST_ONCE) {
            assertEquals(0, before.size(), "a non-idempotent request that may have run was sent again");
        } else if (effect == Effect.DEDUPLICATED) {
            for (Sent o : before) {
                assertEquals(o.worker().charAt(0) < 'n', worker.charAt(0) < 'n', "outside the deduplication scope");
                assertTrue(host.now - o.at() < 500 * MS, "after the window");
            }
        }
        Sent o = new Sent(request, sent.merge(request, 1, Integer::sum) - 1, worker, host.now);
        assertTrue(o.attempt() < 4, "too many attempts");
        before.add(o);
        inFlight.add(o);
    }

    private void order(String worker) {
        assertTrue(up.get(worker), "order to a draining worker");
        orders.add(host.actions.get(read));
        if (host.actions.get(read).endsWith(" 0")) {
            return; // a residency query
        }
        orderTimes.add(host.now);
        long since = host.now - 3000 * MS;
        long sentOrders = orderTimes.stream().filter(at -> at >= since).count();
        long requests = arrivals.stream().filter(at -> at > since).count();
        assertTrue(sentOrders <= 1 + 0.1 * requests, "orders beyond the quota");
    }
}

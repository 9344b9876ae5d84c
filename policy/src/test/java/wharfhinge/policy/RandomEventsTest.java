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

/**
 * Random legal events, without a model of the workers, while the dispatcher's actions are checked against rules 1, 2, 3
 * and 5: one final response before the deadline, no repeat that the request class forbids, no work for draining workers,
 * and load orders within the quota.
 */
class RandomEventsTest {
    private static final long MS = FakeDispatcherHost.MS;
    private static final List<String> IDS = List.of("b", "c", "d", "x", "y", "z");

    private record SentAttempt(String request, int attempt, String worker, long at) {}

    private FakeDispatcherHost host;
    private Effect effect;
    private boolean hedging;
    private int checkedActions;
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private final Map<String, Long> openDeadlines = new HashMap<>();
    private final Map<String, List<SentAttempt>> possiblyExecuted = new HashMap<>();
    private final Map<String, Integer> attemptCounts = new HashMap<>();
    private final Map<String, Boolean> availableById = new HashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private final List<String> ordersInFlight = new ArrayList<>();
    private final List<Long> orderTimes = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();

    @Test
    void randomEvents_keepTheProtocolRules() {
        for (Effect e : Effect.values()) {
            for (OnMissBehavior onMiss : OnMissBehavior.values()) {
                for (int seed = 0; seed < 6; seed++) {
                    runEvents(e, onMiss, seed % 2 == 0, seed);
                }
            }
        }
    }

    private void runEvents(Effect e, OnMissBehavior onMiss, boolean hedgingAllowed, long seed) {
        effect = e;
        hedging = hedgingAllowed;
        checkedActions = 0;
        List.of(inFlight, ordersInFlight, orderTimes, arrivals).forEach(List::clear);
        List.of(openDeadlines, possiblyExecuted, attemptCounts, availableById, timers)
                .forEach(Map::clear);
        host = new FakeDispatcherHost(
                FakeDispatcherHost.settings(e, DeduplicationScope.ZONE, onMiss, hedgingAllowed, 3000 * MS), seed);
        host.answersResidencyQueries = false;
        check();
        IDS.forEach(id -> availableById.put(id, true));
        host.listWorkers(IDS.toArray(new String[0]));
        Random random = new Random(seed);
        for (int step = 0; step < 4000; step++) {
            host.advanceMillis(random.nextInt(4) == 0 ? 0 : 4); // several events at the same time, in any order
            event(random);
            fireTimers();
            for (Map.Entry<String, Long> request : openDeadlines.entrySet()) {
                assertTrue(
                        host.now <= request.getValue() + 16 * MS, "no final response in time for " + request.getKey());
            }
        }
    }

    private void event(Random random) {
        int eventKind = random.nextInt(10);
        if (eventKind < 4) {
            arrivals.add(host.now);
            int actionsBefore = host.actions.size();
            openDeadlines.put("q" + attemptCounts.size(), host.now + 2500 * MS);
            attemptCounts.put("q" + attemptCounts.size(), 0);
            host.sendRequest("f" + random.nextInt(8));
            assertTrue(host.actions.size() > actionsBefore);
        } else if (eventKind < 8 && !inFlight.isEmpty()) {
            SentAttempt sentAttempt = inFlight.remove(random.nextInt(inFlight.size()));
            Outcome outcome = Outcome.values()[random.nextInt(9)];
            boolean provesNotExecuted = outcome == Outcome.SATURATED
                    || outcome == Outcome.NOT_LOADED
                    || outcome == Outcome.CONNECT_FAILED
                    || outcome == Outcome.SUPERSEDED;
            if (provesNotExecuted) {
                possiblyExecuted.get(sentAttempt.request()).remove(sentAttempt);
            }
            boolean answered = outcome == Outcome.SERVED || !openDeadlines.containsKey(sentAttempt.request());
            if (answered) {
                openDeadlines.remove(sentAttempt.request());
            }
            host.dispatcher.onAttemptCompleted(
                    host.now,
                    new AttemptCompletion(
                            sentAttempt.request(),
                            outcome,
                            sentAttempt.attempt(),
                            host.now - sentAttempt.at(),
                            sentAttempt.worker(),
                            CacheStatus.UNKNOWN,
                            0,
                            answered,
                            Map.of()));
        } else if (eventKind == 8 && !ordersInFlight.isEmpty()) {
            String[] order =
                    ordersInFlight.remove(random.nextInt(ordersInFlight.size())).split(" ");
            boolean loaded = random.nextBoolean();
            host.dispatcher.onLoadCompleted(
                    host.now, order[1], order[2], loaded ? 1 : 0, loaded ? Outcome.SERVED : Outcome.ERROR, 50 * MS);
        } else if (eventKind == 9 && random.nextInt(8) == 0) {
            String id = IDS.get(random.nextInt(IDS.size()));
            boolean isUp = random.nextInt(3) > 0;
            availableById.put(id, isUp);
            host.updateWorker(id, isUp ? Availability.UP : Availability.DRAINING, random.nextBoolean() ? host.now : 0);
        } else if (eventKind == 9 && !openDeadlines.isEmpty()) {
            // The request may be queued, waiting for a load, in flight, or between attempts.
            String id = List.copyOf(openDeadlines.keySet()).get(random.nextInt(openDeadlines.size()));
            openDeadlines.remove(id);
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
        for (; checkedActions < host.actions.size(); checkedActions++) {
            String[] words = host.actions.get(checkedActions).split(" ");
            switch (words[0]) {
                case "timer" -> timers.computeIfAbsent(
                                host.now + Math.max(1, Long.parseLong(words[2])), k -> new ArrayList<>())
                        .add(words[1]);
                case "attempt" -> attempt(words[1], words[2]);
                case "reject" -> {
                    assertTrue(openDeadlines.remove(words[1]) != null, "second final response for " + words[1]);
                    assertTrue(
                            effect == Effect.IDEMPOTENT
                                    || possiblyExecuted
                                            .getOrDefault(words[1], List.of())
                                            .isEmpty(),
                            "rejected a request that may have run");
                }
                case "fail" -> assertTrue(
                        openDeadlines.remove(words[1]) != null, "second final response for " + words[1]);
                case "ensureLoaded" -> order(words[1]);
                default -> {}
            }
        }
    }

    private void attempt(String request, String worker) {
        assertTrue(openDeadlines.containsKey(request), "sent after its final response");
        assertTrue(availableById.get(worker), "sent to a draining worker");
        List<SentAttempt> before = possiblyExecuted.computeIfAbsent(request, k -> new ArrayList<>());
        if (!hedging) {
            assertFalse(
                    inFlight.stream()
                            .anyMatch(sentAttempt -> sentAttempt.request().equals(request)),
                    "two attempts in flight without hedging");
        }
        if (effect == Effect.AT_MOST_ONCE) {
            assertEquals(0, before.size(), "a non-idempotent request that may have run was sent again");
        } else if (effect == Effect.DEDUPLICATED) {
            for (SentAttempt sentAttempt : before) {
                assertEquals(
                        sentAttempt.worker().charAt(0) < 'n',
                        worker.charAt(0) < 'n',
                        "outside the deduplication scope");
                assertTrue(host.now - sentAttempt.at() < 500 * MS, "after the deduplication window");
            }
        }
        SentAttempt sentAttempt =
                new SentAttempt(request, attemptCounts.merge(request, 1, Integer::sum) - 1, worker, host.now);
        assertTrue(sentAttempt.attempt() < 4, "too many attempts");
        before.add(sentAttempt);
        inFlight.add(sentAttempt);
    }

    private void order(String worker) {
        assertTrue(availableById.get(worker), "order to a draining worker");
        ordersInFlight.add(host.actions.get(checkedActions));
        if (host.actions.get(checkedActions).endsWith(" 0")) {
            return; // a residency query
        }
        orderTimes.add(host.now);
        long periodStart = host.now - 3000 * MS;
        long sentOrders = orderTimes.stream().filter(at -> at >= periodStart).count();
        long requests = arrivals.stream().filter(at -> at > periodStart).count();
        assertTrue(sentOrders <= 1 + 0.1 * requests, "load orders beyond the quota");
    }
}

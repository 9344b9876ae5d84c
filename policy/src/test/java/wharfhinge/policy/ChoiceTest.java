package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Availability.DRAINING;
import static wharfhinge.policy.Availability.REMOVED;
import static wharfhinge.policy.Availability.UP;
import static wharfhinge.policy.CacheStatus.HIT;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Effect.AT_MOST_ONCE;
import static wharfhinge.policy.Effect.DEDUPLICATED;
import static wharfhinge.policy.Effect.IDEMPOTENT;
import static wharfhinge.policy.Outcome.CONNECT_FAILED;
import static wharfhinge.policy.Outcome.ERROR;
import static wharfhinge.policy.Outcome.NOT_LOADED;
import static wharfhinge.policy.Outcome.RESET;
import static wharfhinge.policy.Outcome.SATURATED;
import static wharfhinge.policy.Outcome.SERVED;
import static wharfhinge.policy.Outcome.TIMEOUT;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChoiceTest {

    private static Recorder loading() {
        return new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.LOAD, true));
    }

    @Test
    void staysOnTheWorkerBelievedWarm() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        String first = t.query("f1");
        t.served(first);
        for (int i = 0; i < 20; i++) {
            String next = t.query("f1");
            assertEquals(t.sentTo(first), t.sentTo(next));
            t.served(next);
            for (int k = 0; k < 9; k++) {
                t.served(t.query("g" + k));
            }
        }
    }

    /** Peers send a like share to the same homes, which own sends do not show. */
    @Test
    void aFunctionThatDrawsAShareOfCallsHasThatShareOfTheWorkers() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j", "k", "l", "m", "x");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            String q = t.query(i % 8 == 0 ? "hot" : "f" + i % 40);
            t.served(q);
            if (i % 8 == 0 && i > 80) {
                used.add(t.sentTo(q));
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 5, "homes used " + used.size());
    }

    @Test
    void spillsPastTheSaturationLimit() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        assertEquals(t.sentTo(t.query("f1")), t.sentTo(t.query("f1")));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            used.add(t.sentTo(t.query("f1")));
        }
        assertTrue(used.size() > 1);
    }

    @Test
    void aCopyWithoutAFreeLaneIsSaturatedForItsFunction() {
        Recorder t = loading();
        t.lanes = 1;
        t.fleet("b", "c", "d", "e");
        assertNotEquals(t.sentTo(t.query("f1")), t.sentTo(t.query("f1")));
    }

    @Test
    void frontEndsThatShareNothingMeetOnAColdFunction() {
        for (int i = 0; i < 20; i++) {
            Recorder one = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), 1);
            Recorder other = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), 2);
            one.fleet("b", "c", "d", "e");
            other.fleet("e", "d", "c", "b");
            assertEquals(one.sentTo(one.query("f" + i)), other.sentTo(other.query("f" + i)));
        }
    }

    @Test
    void anEmptyListHoldsTheRequestAndTheDeadlineEndsIt() {
        Recorder t = loading();
        t.fleet();
        String q = t.query("f");
        assertNull(t.sentTo(q));
        t.pass(2492);
        t.due("end:" + q);
        assertTrue(t.did("refuse " + q));
        t.fleet("b");
        assertNull(t.sentTo(q));
    }

    @Test
    void aHeldRequestGoesOutWhenAWorkerComes() {
        Recorder t = loading();
        t.fleet();
        String q = t.query("f");
        t.fleet("b");
        t.answerAsks();
        assertEquals("b", t.sentTo(q));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeitherResentNorRefused() {
        for (Outcome outcome : List.of(ERROR, RESET, TIMEOUT)) {
            Recorder t = new Recorder(Recorder.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
            t.fleet("b", "c");
            String q = t.query("f");
            t.end(q, 0, outcome, UNKNOWN, 10);
            assertEquals(1, t.attempts(q), outcome.name());
            assertTrue(t.did("fail " + q), outcome.name());
            assertFalse(t.did("refuse " + q), outcome.name());
        }
    }

    @Test
    void anUnsafeRequestThatNeverRanIsResent() {
        for (Outcome outcome : List.of(SATURATED, CONNECT_FAILED)) {
            Recorder t = new Recorder(Recorder.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
            t.fleet("b", "c");
            String q = t.query("f");
            t.end(q, 0, outcome, UNKNOWN, 10);
            assertEquals(2, t.attempts(q), outcome.name());
        }
    }

    @Test
    void anErrorAfterAFailedLoadIsNoProof() {
        Recorder t = new Recorder(Recorder.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
        t.fleet("b", "c");
        String q = t.query("f");
        t.end(q, 0, ERROR, CacheStatus.LOAD_FAILED, 10);
        assertTrue(t.did("fail " + q));
    }

    @Test
    void aKeyedRequestStaysInItsZoneAndWindow() {
        DispatcherSettings zone =
                Recorder.settings(DEDUPLICATED, DeduplicationScope.ZONE, OnMissBehavior.LOAD, true, 0);
        Recorder t = new Recorder(zone);
        t.fleet("b", "c", "x", "y");
        String q = t.query("f");
        String first = t.sentTo(q);
        t.end(q, 0, RESET, UNKNOWN, 10);
        assertEquals(first.charAt(0) < 'n', t.sentTo(q).charAt(0) < 'n');
        assertEquals(2, t.attempts(q));
        t.pass(600);
        t.end(q, 1, RESET, UNKNOWN, 10);
        assertEquals(2, t.attempts(q));
        t.pass(1892);
        t.due("end:" + q);
        assertTrue(t.did("fail " + q));
        assertFalse(t.did("refuse " + q));
    }

    @Test
    void neverTwoAttemptsAtOnceWhereSecondCopiesAreNotAllowed() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.LOAD, false));
        t.fleet("b", "c");
        String q = t.query("f");
        t.pass(1600);
        t.due("0:" + q);
        assertEquals(1, t.attempts(q));
        assertTrue(t.did("cancel " + q + " 0"));
        t.end(q, 0, Outcome.CANCELLED, UNKNOWN, 2000);
        assertEquals(2, t.attempts(q));
    }

    @Test
    void attemptsStayWithinTheToldMaximum() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h");
        String q = t.query("f");
        for (int i = 0; i < 4; i++) {
            t.end(q, i, SATURATED, UNKNOWN, 1);
        }
        assertEquals(4, t.attempts(q));
        assertTrue(t.did("refuse " + q));
    }

    @Test
    void drainedWithdrawnAndUnnamedWorkersGetNothing() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        String warm = t.query("f");
        String home = t.sentTo(warm);
        t.served(warm);
        t.change(home, DRAINING, 0);
        assertNotEquals(home, t.sentTo(t.query("f")));
        t.fleet("b");
        for (int i = 0; i < 5; i++) {
            assertEquals("b", t.sentTo(t.query("g" + i)));
        }
        t.change("b", REMOVED, 0);
        assertNull(t.sentTo(t.query("g")));
    }

    @Test
    void noOrderGoesToADrainingWorker() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b");
        String q = t.query("f");
        t.change("b", DRAINING, 0);
        t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
        assertFalse(t.did("hold b f 1"));
    }

    @Test
    void aWorkerThatComesBackIsColdAndItsWarmListIsVoid() {
        Recorder t = loading();
        t.fleet("b", "c");
        for (int i = 0; i < 100; i++) {
            t.served(t.query("f" + i % 10));
            t.pass(10);
        }
        t.change("b", UP, t.now);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            String q = t.query("g" + i);
            sent += "b".equals(t.sentTo(q)) ? 1 : 0;
            t.served(q);
            t.pass(10);
        }
        // 100 a second on two workers: a cold one at 0.2 to 0.28 of its capacity, twice that allowed
        assertTrue(sent > 0 && sent <= 17, "sent " + sent);
    }

    @Test
    void requestsThatAreNotServedDoNotEnlargeTheColdBudget() {
        Recorder t = loading();
        t.fleet("b");
        t.change("c", UP, t.now);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            sent += "c".equals(t.sentTo(t.query("f"))) ? 1 : 0;
            t.pass(10);
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    @Test
    void aMissOrdersOneAndResendsOnceAnswered() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b", "c");
        String q = t.query("f");
        String home = t.sentTo(q);
        t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
        assertTrue(t.did("hold " + home + " f 1"));
        String second = t.query("f");
        assertEquals(1, t.attempts(q));
        assertEquals(0, t.attempts(second));
        t.pass(500);
        t.choice.onLoadCompleted(t.now, home, "f", 1, SERVED, 500 * Recorder.MS);
        assertEquals(2, t.attempts(q));
        assertEquals(home, t.sentTo(second));
    }

    /** It stood at both; the ration may be spent, and a load takes longer than another send. */
    @Test
    void aMissDoesNotWaitWhereAnotherCopyStands() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.lanes = 1;
        t.fleet("b", "c");
        String first = t.query("f");
        String home = t.sentTo(first);
        String other = home.equals("b") ? "c" : "b";
        t.served(first);
        List<String> busy = List.of(t.query("f"), t.query("f"), t.query("f")); // two lanes and one: a further copy
        assertTrue(t.did("hold " + other + " f 1"));
        t.choice.onLoadCompleted(t.now, other, "f", 1, SERVED, 500 * Recorder.MS);
        busy.forEach(t::served);
        String q = t.query("f");
        String missed = t.sentTo(q);
        t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
        assertEquals(2, t.attempts(q));
        assertEquals(missed.equals("b") ? "c" : "b", t.sentTo(q));
        t.served(q);
        assertEquals(t.sentTo(q), t.sentTo(t.query("f")), "what missed is not believed");
    }

    @Test
    void aFailedHoldSendsTheRequestToTheNextInRank() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b", "c");
        String q = t.query("f");
        String home = t.sentTo(q);
        t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
        t.choice.onLoadCompleted(t.now, home, "f", 0, ERROR, 500 * Recorder.MS);
        assertEquals(2, t.attempts(q));
        assertNotEquals(home, t.sentTo(q));
    }

    @Test
    void ordersStayWithinTheRation() {
        Recorder t = new Recorder(
                Recorder.settings(IDEMPOTENT, DeduplicationScope.ALL, OnMissBehavior.MISS, false, 5000 * Recorder.MS));
        t.fleet("b", "c", "d");
        for (int i = 0; i < 20; i++) {
            t.end(t.query("f" + i), 0, NOT_LOADED, UNKNOWN, 1);
        }
        assertEquals(3, t.lines.stream().filter(l -> l.startsWith("hold ")).count());
    }

    @Test
    void aFailingWorkerIsLeftAndComesBackByTrials() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        String home = t.sentTo(t.query("f"));
        for (int i = 0; i < 8; i++) {
            String q = t.query("f");
            if (home.equals(t.sentTo(q))) {
                t.end(q, 0, ERROR, UNKNOWN, 1);
            }
        }
        assertNotEquals(home, t.sentTo(t.query("f")));
        t.pass(1100);
        String trial = t.query("f");
        assertEquals(home, t.sentTo(trial));
        assertNotEquals(home, t.sentTo(t.query("f")));
        t.end(trial, 0, SERVED, HIT, 50);
        assertEquals(home, t.sentTo(t.query("f")));
        assertTrue(t.did("remark ejected " + home + " failing"));
    }

    @Test
    void aSilentWorkerIsLeftAndItsRequestRescued() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        List<String> out = List.of(t.query("f"), t.query("f"), t.query("f"));
        String home = t.sentTo(out.get(0));
        t.pass(1600);
        for (String q : out) {
            assertEquals(home, t.sentTo(q));
            assertFalse(t.did("remark ejected " + home + " silent"));
            t.due("0:" + q);
            assertEquals(2, t.attempts(q));
            assertNotEquals(home, t.sentTo(q));
        }
        assertTrue(t.did("remark ejected " + home + " silent"));
        assertNotEquals(home, t.sentTo(t.query("f")));
    }

    @Test
    void whatNeedsALoadWaitsWhileTheOwnLoadsOutAreAtTheirLimit() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 8; i++) {
            t.query("f" + i);
        }
        String q = t.query("g");
        assertNull(t.sentTo(q));
        assertTrue(t.sentTo(t.query("f0")) != null);
        t.pass(200);
        t.due("sweep");
        assertNull(t.sentTo(q));
        t.pass(101);
        t.due("sweep");
        assertTrue(t.did("refuse " + q));
    }

    @Test
    void aSaturatedWarmWorkerKeepsTheRequestAndACopyIsOrderedAhead() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b", "c", "d", "e");
        t.lanes = 1;
        String q = t.query("f");
        String home = t.sentTo(q);
        t.served(q);
        for (int i = 0; i < 6; i++) {
            assertEquals(home, t.sentTo(t.query("f")));
        }
        assertEquals(
                1,
                t.lines.stream()
                        .filter(l -> l.startsWith("hold ") && l.contains(" f 1"))
                        .count());
    }

    @Test
    void oneHeavyAnswerDoesNotMakeAWorkerSlow() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        for (int i = 0; i < 40; i++) {
            String q = t.query("f" + i);
            t.end(q, 0, SERVED, HIT, i % 13 == 5 ? 2000 : 50 + i);
        }
        assertFalse(t.lines.stream().anyMatch(l -> l.endsWith(" slow")));
    }

    @Test
    void whenMostOfTheFleetLooksBadItStillSends() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        for (int i = 0; i < 40; i++) {
            String q = t.query("f" + i);
            for (int k = 0; k < 4 && t.attempts(q) > k; k++) {
                t.end(q, k, ERROR, UNKNOWN, 1);
            }
            t.pass(20);
        }
        assertTrue(t.sentTo(t.query("g")) != null);
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        List<String> first = null;
        for (int run = 0; run < 2; run++) {
            Recorder t = loading();
            t.fleet("b", "c", "d", "e");
            for (int i = 0; i < 200; i++) {
                String q = t.query("f" + i % 17);
                if (i % 3 != 0) {
                    t.end(q, 0, i % 5 == 0 ? ERROR : SERVED, UNKNOWN, 30);
                }
                t.pass(7);
            }
            if (first == null) {
                first = t.lines;
            } else {
                assertEquals(first, t.lines);
            }
        }
    }

    /** Many front ends meet a worker rarely: each full answer has to tell for longer. */
    @Test
    void fullAnswersKeepAFrontEndThatSendsRarelyAwayForLongerEachTime() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        String first = t.query("f");
        String home = t.sentTo(first);
        for (int i = 0; i < 3; i++) {
            String q = first;
            t.pass(i == 0 ? 0 : 700);
            for (int tries = 0; i > 0 && tries < 20 && (tries == 0 || t.sentTo(q) == null); tries++) {
                q = t.query("f");
            }
            assertEquals(home, t.sentTo(q));
            t.end(q, 0, SATURATED, UNKNOWN, 1);
        }
        t.pass(700);
        assertNotEquals(home, t.sentTo(t.query("f")));
        t.pass(6000);
        assertEquals(home, t.sentTo(t.query("f")));
    }

    /** Overload: a front end whose answers come late or full takes fewer requests. */
    @Test
    void shedsWhenMostOwnAnswersTellSaturation() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            String q = t.query("f" + i % 3);
            if (t.sentTo(q) != null) {
                t.end(q, 0, SERVED, HIT, 700);
            } else {
                refused += t.did("refuse " + q) ? 1 : 0;
            }
            t.pass(20);
        }
        assertTrue(refused > 10 && refused < 55, "refused " + refused);
    }

    /** Where each front end sees little, trials could become most of its traffic. */
    @Test
    void trialsAreAtMostOneInTwentyRequests() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j");
        for (int i = 0; i < 90; i++) {
            String q = t.query("f" + i);
            t.pass(20);
            for (int k = 0; k < t.attempts(q) && k < 4; k++) {
                t.end(q, k, "bcd".contains("" + t.sentTo(q)) ? ERROR : SERVED, HIT, 1);
            }
        }
        assertEquals(
                3,
                t.lines.stream()
                        .filter(l -> l.startsWith("remark ejected"))
                        .distinct()
                        .count());
        t.pass(9000);
        int before = t.lines.size();
        for (int i = 0; i < 40; i++) {
            String q = t.query("f" + i % 12);
            t.end(q, 0, "bcd".contains("" + t.sentTo(q)) ? TIMEOUT : SERVED, HIT, 1);
        }
        long trials = t.lines.subList(before, t.lines.size()).stream()
                .filter(l -> l.matches("attempt \\S+ [bcd]"))
                .count();
        assertTrue(trials <= 4, "trials " + trials);
    }

    /** A miss shows that the worker answers: it is well again, and loads as others do. */
    @Test
    void aTrialThatMissesPasses() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b", "c", "d", "e");
        String home = t.sentTo(t.query("f"));
        for (int i = 0; i < 8; i++) {
            String q = t.query("f");
            if (home.equals(t.sentTo(q))) {
                t.end(q, 0, ERROR, UNKNOWN, 1);
            }
        }
        assertTrue(t.did("remark ejected " + home + " failing"));
        t.pass(1100);
        String trial = null;
        for (int i = 0; i < 40 && trial == null; i++) {
            String q = t.query("g" + i);
            trial = home.equals(t.sentTo(q)) ? q : null;
        }
        t.end(trial, 0, NOT_LOADED, UNKNOWN, 1);
        assertTrue(t.lines.stream().anyMatch(l -> l.startsWith("hold " + home + " g")));
    }

    /** A fleet whose memory holds six copies of 100 MB on three workers, and orders load. */
    private static Recorder full(int group) {
        Recorder t = new Recorder(Recorder.withMemory(200, group));
        t.memoryMb = 100;
        t.fleet("b", "c", "d");
        for (int i = 0; i < 6; i++) {
            String q = t.query("f" + i);
            String worker = t.sentTo(q);
            t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
            t.choice.onLoadCompleted(t.now, worker, "f" + i, 1, Outcome.SERVED, 100 * Recorder.MS);
            t.served(q);
        }
        return t;
    }

    private static long holds(Recorder t) {
        return t.lines.stream().filter(l -> l.startsWith("hold ")).count();
    }

    /** Rendezvous hashing alone puts up to all six on one worker, whose memory then turns over for ever. */
    @Test
    void functionsThatFitTheFleetHaveAPlaceEachWhereMemoryHoldsThem() {
        Recorder t = full(1);
        t.pass(9000); // what is believed lapses, the places stay
        t.due("lapse");
        Map<String, Integer> each = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            String q = t.query("f" + i);
            each.merge(t.sentTo(q), 1, Integer::sum);
            t.served(q);
        }
        assertEquals(Map.of("b", 2, "c", 2, "d", 2), each);
    }

    /** A storm on one function: what is more than its copy bears is refused, no other's last copy goes for it. */
    @Test
    void aFurtherCopyIsNotOrderedWhereMemoryIsFull() {
        Recorder t = full(1);
        long refused = 0;
        for (int i = 0; i < 60; i++) {
            refused += t.did("refuse " + t.query("f0")) ? 1 : 0;
        }
        assertEquals(6, holds(t));
        assertTrue(refused > 30, "refused " + refused);
        assertTrue(t.sentTo(t.query("f1")) != null, "others are not");
    }

    /** Believed there, and gone: its load is not ordered where memory is full of others, but at its place. */
    @Test
    void whatMissesAwayFromItsPlaceGoesHome() {
        Recorder t = full(1);
        String q = t.query("f0");
        String place = t.sentTo(q);
        t.end(q, 0, NOT_LOADED, UNKNOWN, 1);
        assertEquals(7, holds(t));
        assertTrue(
                t.lines.stream()
                                .filter(l -> l.startsWith("hold " + place + " f0"))
                                .count()
                        == 2,
                "it stood at its place: there again");
    }

    /** Gateways that share nothing, told the same functions in another order, derive the same places. */
    @Test
    void placesDoNotDependOnTheOrderInWhichFunctionsCame() {
        Map<String, String> first = new HashMap<>();
        Random order = new Random(5);
        for (int run = 0; run < 20; run++) {
            Recorder t = new Recorder(Recorder.withMemory(300, 3), run);
            t.memoryMb = 100;
            t.fleet("b", "c", "d", "e");
            List<String> functions = new ArrayList<>(
                    IntStream.range(0, 12).mapToObj(i -> "f" + i).toList());
            java.util.Collections.shuffle(functions, order);
            functions.forEach(f -> t.served(t.query(f)));
            t.pass(9000);
            t.due("lapse");
            for (String f : functions) {
                String to = t.sentTo(t.query(f));
                assertEquals(first.computeIfAbsent(f, x -> to), to, f);
            }
        }
    }

    /** Queues that peers made show only in answers: the slower of two warm workers comes last for a while. */
    @Test
    void amongEqualsAWorkerSlowOfLateComesLast() {
        Recorder t = loading();
        t.lanes = 1;
        t.fleet("b", "c");
        String one = t.query("f");
        String two = t.query("f");
        t.end(one, 0, SERVED, HIT, 50);
        t.end(two, 0, SERVED, HIT, 550);
        for (int i = 0; i < 10; i++) {
            t.pass(100);
            String q = t.query("f");
            assertEquals(t.sentTo(one), t.sentTo(q));
            t.served(q);
        }
    }

    /** Peers keep functions warm that are not on the own list: such sends are no loads and are not rationed. */
    @Test
    void sendsThatFindACopyDoNotCountAgainstTheLoadLimit() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 60; i++) {
            t.served(t.query("f" + i));
            t.pass(50);
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(t.sentTo(t.query("g" + i)) != null, "held " + i);
        }
    }

    /** What no worker ever served and two failed is their callers' fault; what they serve well tells how they are. */
    @Test
    void callersThatNameWhatIsNotThereEjectNobody() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        for (int i = 0; i < 60; i++) {
            t.served(t.query("known" + i % 8));
            String q = t.query("made-up");
            for (int k = 0; k < 3 && t.attempts(q) > k; k++) {
                t.end(q, k, ERROR, UNKNOWN, 1);
            }
            t.pass(60);
        }
        assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("remark ejected")));
    }

    /** A network that resets says nothing of the copy behind it; the retry goes elsewhere all the same. */
    @Test
    void aBrokenConnectionDoesNotUnloadACopy() {
        for (Outcome how : List.of(RESET, CONNECT_FAILED)) {
            Recorder t = loading();
            t.fleet("b", "c", "d", "e");
            String first = t.query("f");
            String home = t.sentTo(first);
            t.served(first);
            String broken = t.query("f");
            t.end(broken, 0, how, UNKNOWN, 1);
            assertNotEquals(home, t.sentTo(broken));
            assertTrue(
                    t.choice.workerStates(t.now, "f").stream()
                            .anyMatch(b -> b.worker().equals(home) && b.loaded()),
                    how.toString());
        }
    }

    /** Nor of the store: loads that broke neither fill the limit on loads out nor cut it. */
    @Test
    void brokenConnectionsDoNotPassForACrowdedStore() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 12; i++) {
            String q = t.query("f" + i);
            t.end(q, 0, RESET, UNKNOWN, 1);
            t.served(q);
            t.served(t.query("f" + i));
            t.pass(400);
        }
        for (int i = 0; i < 7; i++) {
            assertTrue(t.sentTo(t.query("g" + i)) != null, "turned away at " + i);
        }
    }

    /** After a stall of our own every timer is late: that tells nothing of the workers. */
    @Test
    void aStallOfOurOwnChargesNobody() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        List<String> out = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            out.add(t.query("f"));
        }
        t.pass(1900);
        out.forEach(q -> t.due("0:" + q));
        assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("remark ejected")));
        out.forEach(q -> assertEquals(1, t.attempts(q)));
    }

    /** A client with little time left is not held for half the class's aim. */
    @Test
    void aRequestWithLittleTimeLeftIsAnsweredInIt() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 8; i++) {
            t.query("f" + i);
        }
        t.choice.onRequest(
                t.now, new Request("short", null, 200 * Recorder.MS, 300, "g", 0, 4, 500, "c", false, false));
        t.answerAsks();
        assertNull(t.sentTo("short"));
        t.pass(101);
        t.due("sweep");
        assertTrue(t.did("refuse short"));
    }

    /** Rule 4 is kept by each front end alone: together they stay within the told budget, and use it. */
    @Test
    void aHundredFrontEndsTogetherKeepTheColdBudget() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), seed);
            t.fleet("b", "c", "d", "e");
            for (int i = 0; i < 20; i++) {
                t.served(t.query("f" + i));
                t.pass(250);
            }
            t.change("x", UP, t.now);
            for (int i = 0; i < 8; i++) {
                String q = t.query("g" + (seed * 8 + i));
                sent += "x".equals(t.sentTo(q)) ? 1 : 0;
                t.served(q);
                t.pass(250);
            }
        }
        // 400 a second on five workers, cold at 0.2 to 0.36 of 80, twice that allowed in 2 s: 64 to 90
        assertTrue(sent >= 10 && sent <= 64, "sent " + sent);
    }

    /**
     * Nobody needs the cold worker for seconds, then all do in one window: what each could have sent it meanwhile may not add up beyond
     * the budget N of that window and what chance adds, 2 x root of N + 2.
     */
    @Test
    void whatManyFrontEndsDidNotSendAColdWorkerDoesNotAddUp() {
        for (int[] group :
                new int[][] {{20, 120}, {30, 250}, {100, 1000}}) { // front ends, pause between the calls of one, ms
            for (int idleMillis = 2000; idleMillis <= 8000; idleMillis += 2000) {
                int sent = 0;
                for (int seed = 0; seed < group[0]; seed++) {
                    Recorder t = new Recorder(Recorder.among(group[0], false, true), seed);
                    t.fleet("b", "c", "d", "e");
                    for (int i = 0; i < 8000 / group[1]; i++) {
                        t.served(t.query("f"));
                        t.pass(group[1]);
                    }
                    t.change("x", UP, t.now);
                    for (int i = 0; i < idleMillis / group[1]; i++) { // what stands elsewhere goes there
                        t.served(t.query("f"));
                        t.pass(group[1]);
                    }
                    for (int i = 0; i < 20; i++) { // what stands nowhere, of which x is the home of some
                        String q = t.query("g" + i);
                        sent += "x".equals(t.sentTo(q)) ? 1 : 0;
                        t.served(q);
                        t.pass(50);
                    }
                }
                double capacity = group[0] * 1000.0 / group[1] / 5
                        / 0.65; // a second, of each worker: before, they were busy to 0.65
                double n = 2 * (0.2 + 0.8 * Math.min(1, (idleMillis + 1000) / 10_000.0)) * capacity;
                assertTrue(
                        sent <= n + 2 * Math.sqrt(n) + 2,
                        group[0] + " front ends after " + idleMillis + " ms: " + sent + " of " + n);
            }
        }
    }

    /**
     * A cold worker's budget is of the whole group: whatever the number of dispatchers and however unevenly calls reach them, each window
     * gets at most the N calls that the settings allow it then, and what chance adds. Every call wants the cold worker, and the fleet
     * serves at its capacity; {@code idle}: nobody wants it for seconds, then all do at once.
     */
    @ParameterizedTest
    @CsvSource({
        "1,3,false",
        "1,29,false",
        "1,30,false",
        "1,200,false",
        "3,3,false",
        "3,29,false",
        "3,30,false",
        "3,200,false",
        "30,3,false",
        "30,29,false",
        "30,30,false",
        "30,200,false",
        "560,3,false",
        "560,29,false",
        "560,30,false",
        "560,200,false",
        "1,3,true",
        "1,29,true",
        "1,30,true",
        "1,200,true",
        "3,3,true",
        "3,29,true",
        "3,30,true",
        "3,200,true",
        "30,3,true",
        "30,29,true",
        "30,30,true",
        "30,200,true",
        "560,3,true",
        "560,29,true",
        "560,30,true",
        "560,200,true"
    })
    void theColdBudgetBindsTheSumOfAll(int dispatchers, int allowed, boolean idle) {
        ColdBudget.assertKept(dispatchers, allowed, idle, 1, idle ? 0 : 1.5, 1);
        ColdBudget.assertKept(dispatchers, allowed, idle, 3, idle ? 1.5 : 0, 2);
    }

    /** Many front ends meet on a busy worker, which own sends do not show: two are looked at before a send. */
    @Test
    void amongManyFrontEndsTheLessBusyOfTwoIsTaken() {
        Recorder t = new Recorder(Recorder.among(300, true, true));
        t.fleet("b", "c", "d", "e");
        String first = t.query("f");
        assertNull(t.sentTo(first));
        assertEquals(2, t.lines.stream().filter(l -> l.startsWith("probe ")).count());
        String busy =
                t.lines.stream().filter(l -> l.startsWith("probe ")).findFirst().orElseThrow();
        t.answerProbes(busy.substring(6), 10);
        assertNotEquals(busy.substring(6), t.sentTo(first));
        assertEquals(1, t.attempts(first));
    }

    @Test
    void amongWarmCopiesTheOneWithTheLeastToldLoadIsTaken() {
        for (int busy = 0; busy < 2; busy++) {
            Recorder t = new Recorder(Recorder.among(300, true, true));
            t.lanes = 1;
            t.fleet("b", "c", "d", "e");
            List<String> both = List.of(t.query("f"), t.query("f"));
            t.answerProbes("none", 0);
            List<String> copies = both.stream().map(t::sentTo).toList();
            assertNotEquals(copies.get(0), copies.get(1));
            both.forEach(t::served);
            t.pass(400);
            String third = t.query("f");
            t.answerProbes(copies.get(busy), 1);
            assertEquals(copies.get(1 - busy), t.sentTo(third));
        }
    }

    /** Two of three calls there are peers'; one that is alone sees all it sends and needs no telling. */
    @Test
    void toldLoadCountsBeforeFewFrontEndsTooButNotBeforeOne() {
        for (int group : new int[] {1, 3}) {
            Recorder t = new Recorder(Recorder.among(group, true, true));
            t.fleet("b", "c", "d", "e");
            String first = t.query("f");
            t.served(first);
            t.choice.onProbeCompleted(t.now, t.sentTo(first), SERVED, Recorder.MS, Map.of("rif", 20.0));
            String next = t.query("f");
            assertEquals(group == 1, t.sentTo(first).equals(t.sentTo(next)));
        }
    }

    /** The call itself goes where the function stands; only the next ones find the copy. */
    @Test
    void aCrowdedWorkersFunctionGetsAFurtherCopyWhileNoOrderIsOut() {
        for (double told : new double[] {2, 3}) { // the mean is 2
            Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
            t.fleet("b", "c", "d", "e");
            String first = t.query("f");
            String home = t.sentTo(first);
            t.served(first);
            t.choice.onProbeCompleted(t.now, home, SERVED, Recorder.MS, Map.of("rif", told));
            t.lines.clear();
            assertEquals(home, t.sentTo(t.query("f")));
            assertEquals(
                    told > 2, t.lines.stream().anyMatch(l -> l.startsWith("hold ") && !l.startsWith("hold " + home)));
            t.lines.clear();
            t.query("f");
            assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("hold ")), "one is out already");
        }
    }

    /** What is ordered for a crowd never comes before what a call waits for. */
    @Test
    void oneOrderForTheCrowdedAtATime() {
        Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        t.fleet("b", "c", "d", "e");
        for (String function : List.of("f", "g")) {
            String q = t.query(function);
            t.served(q);
            t.choice.onProbeCompleted(t.now, t.sentTo(q), SERVED, Recorder.MS, Map.of("rif", 3.0));
        }
        t.lines.clear();
        t.query("f");
        t.query("g");
        assertEquals(1, t.lines.stream().filter(l -> l.startsWith("hold ")).count());
    }

    /** A wait for a probe may still serve the request; it is bounded, and a late probe counts as saturated. */
    @Test
    void aLateProbeDoesNotHoldARequest() {
        Recorder t = new Recorder(Recorder.among(300, true, true));
        t.fleet("b", "c", "d", "e");
        String q = t.query("f");
        assertTrue(t.did("timer look:" + q + " " + 40 * Recorder.MS));
        t.pass(40);
        t.due("look:" + q);
        assertEquals(1, t.attempts(q));
        t.due("look:" + q);
        t.answerProbes("none", 0);
        assertEquals(1, t.attempts(q));
    }

    @Test
    void fewFrontEndsAndSitesWithoutProbesSendAtOnce() {
        for (DispatcherSettings s : List.of(Recorder.among(3, true, true), Recorder.among(300, false, true))) {
            Recorder t = new Recorder(s);
            t.fleet("b", "c", "d", "e");
            assertEquals(1, t.attempts(t.query("f")));
            assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("probe ")));
        }
    }

    @Test
    void noProbesWhereMostIsSaturated() {
        Recorder t = new Recorder(Recorder.among(300, true, true));
        t.fleet(IntStream.range(0, 40).mapToObj(i -> "b" + i).toArray(String[]::new));
        for (int i = 0; i < 8; i++) {
            String q = t.query("f" + i);
            t.answerProbes("none", 0);
            if (t.sentTo(q) != null) {
                t.end(q, 0, SATURATED, UNKNOWN, 5, true);
            }
        }
        t.lines.clear();
        for (int i = 0; i < 40; i++) {
            t.query("g" + i);
        }
        assertTrue(t.lines.stream().anyMatch(l -> l.startsWith("attempt ")));
        assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("probe ")));
    }

    /** Many front ends that each send seldom: one that finds a worker full leaves it alone for longer than before. */
    @Test
    void aCutDoublesTheOwnIntervalAmongManyFrontEnds() {
        assertTrue(quietAfterFull(300) >= 1800);
        assertTrue(quietAfterFull(2) < 1000);
    }

    /** Milliseconds until a worker gets a request again, which had one each second and was then found full. */
    private static long quietAfterFull(int groupSize) {
        Recorder t = new Recorder(Recorder.among(groupSize, false, true));
        t.fleet("b", "c");
        String first = t.query("f");
        String home = t.sentTo(first);
        t.served(first);
        for (int i = 0; i < 4; i++) {
            t.pass(1000);
            String q = t.query("f");
            assertEquals(home, t.sentTo(q));
            t.end(q, 0, i < 3 ? SERVED : SATURATED, i < 3 ? HIT : UNKNOWN, 100);
            if (i == 3) {
                t.end(q, 1, SERVED, HIT, 100);
            }
        }
        long waited = 0;
        for (String q = t.query("f"); waited < 10_000 && !home.equals(t.sentTo(q)); q = t.query("f")) {
            t.end(q, 0, SERVED, HIT, 100);
            t.pass(100);
            waited += 100;
        }
        return waited;
    }

    /** With few answers in memory a front end among many must still shed when all of them tell saturation. */
    @Test
    void fewAnswersThatAllTellSaturationShedMostCalls() {
        int refused = 0;
        for (int seed = 0; seed < 200; seed++) {
            Recorder t = new Recorder(Recorder.among(300, false, true), seed);
            t.fleet(IntStream.range(0, 40).mapToObj(i -> "b" + i).toArray(String[]::new));
            for (int i = 0, answered = 0; answered < 4; i++) {
                String q = t.query("f" + i);
                if (t.sentTo(q) != null) {
                    t.end(q, 0, SATURATED, UNKNOWN, 5, true);
                    answered++;
                }
            }
            refused += t.did("refuse " + t.query("g")) ? 1 : 0;
        }
        assertTrue(refused > 150 && refused < 190, "refused " + refused);
    }

    /** Given up at once, with a time to come back that the site honours, or none where it honours none. */
    @Test
    void aRefusalTellsWhenToComeBack() {
        for (boolean honoured : List.of(true, false)) {
            Recorder t = new Recorder(Recorder.among(300, false, honoured));
            t.fleet("b", "c");
            for (int i = 0; i < 60 && t.advised < 0; i++) {
                String q = t.query("f" + i);
                if (t.sentTo(q) != null) {
                    t.end(q, 0, SATURATED, UNKNOWN, 5, true);
                }
            }
            assertTrue(honoured ? t.advised > 0 && t.advised <= 200 * Recorder.MS : t.advised == 0);
        }
    }

    /** While nothing can take it a request may wait, but not past the time that serving it needs. */
    @Test
    void aHeldRequestThatNothingCanServeInTimeIsRefusedAtOnce() {
        Recorder t = loading();
        t.fleet("b");
        for (int i = 0; i < 50; i++) {
            t.end(t.query("f"), 0, SERVED, HIT, 300);
            t.pass(100);
        }
        t.fleet();
        String q = t.query("f");
        t.pass(2150);
        t.due("sweep");
        assertFalse(t.did("refuse " + q));
        t.pass(100);
        t.due("sweep");
        assertTrue(t.did("refuse " + q));
    }

    /** A request that waits for an order not yet given is refused when the load would end past its deadline. */
    @Test
    void aWaitForAnOrderThatComesTooLateEndsAtOnce() {
        Recorder t = new Recorder(
                Recorder.settings(IDEMPOTENT, DeduplicationScope.ALL, OnMissBehavior.MISS, true, 5000 * Recorder.MS));
        t.fleet("b", "c", "d", "e");
        String ordered = t.query("f0");
        t.end(ordered, 0, NOT_LOADED, UNKNOWN, 5);
        String waits = t.query("f1");
        t.end(waits, 0, NOT_LOADED, UNKNOWN, 5);
        assertEquals(1, t.lines.stream().filter(l -> l.startsWith("hold ")).count());
        t.pass(1800);
        t.due("sweep");
        assertFalse(t.did("refuse " + waits));
        t.pass(100);
        t.due("sweep");
        assertTrue(t.did("refuse " + waits));
        assertFalse(t.did("refuse " + ordered));
    }

    /** What is told to come is ordered once, within the limit on loads, and its call goes where that copy loads. */
    @Test
    void whatIsExpectedIsLoadedAheadAndItsCallFollows() {
        for (OnMissBehavior notLoaded : OnMissBehavior.values()) {
            Recorder t = new Recorder(Recorder.settings(IDEMPOTENT, notLoaded, false));
            t.fleet("b", "c", "d", "e");
            Request soon = new Request("x", null, 1000 * Recorder.MS, 100, "f", 0, 1, 500, "c", false, false);
            assertFalse(t.choice.isCached(t.now, "f"));
            t.choice.onRequestExpected(t.now, soon);
            t.choice.onRequestExpected(t.now, soon);
            List<String> holds =
                    t.lines.stream().filter(l -> l.startsWith("hold ")).toList();
            assertEquals(1, holds.size(), "ordered once");
            assertFalse(t.choice.isCached(t.now, "f"), "a copy that loads does not stand");
            String worker = holds.get(0).split(" ")[1];
            String q = t.query("f");
            if (notLoaded == OnMissBehavior.LOAD) {
                assertEquals(worker, t.sentTo(q), "it waits where its copy loads");
            }
            t.choice.onLoadCompleted(t.now, worker, "f", 1, Outcome.SERVED, 500 * Recorder.MS);
            assertTrue(t.choice.isCached(t.now, "f"));
            assertEquals(worker, t.sentTo(q));
        }
    }

    /** Operators and the bench read from the deploy file which files decide: each is named there, and nothing that is not there. */
    @Test
    void everyFileOfTheModule_isNamedInTheDeployFile() throws Exception {
        String deploy = Files.readString(Path.of("../deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[([^\\]]*)\\]").matcher(deploy);
        assertTrue(list.find());
        Set<String> named =
                new TreeSet<>(List.of(list.group(1).replaceAll("[\"\\s]", "").split(",")));
        Set<String> present = new TreeSet<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            files.filter(file -> file.toString().endsWith(".java")).forEach(file -> present.add("policy/" + file));
        }
        assertTrue(present.containsAll(named), () -> "named but absent: " + named);
        present.removeAll(named);
        assertEquals(
                Set.of(), present.stream().filter(ChoiceTest::hasStatements).collect(Collectors.toSet()));
    }

    /** Whether a file holds more than a message's components or an interface's signatures. */
    private static boolean hasStatements(String file) {
        try {
            return Pattern.compile("(?m)^(\\w+ )*class ")
                    .matcher(Files.readString(Path.of("..").resolve(file)))
                    .find();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- Asking before a load; waiting for a lane ---------------------------------------------

    /** One that starts anew knows nothing: the call goes where a peer's copy stands, which need not be its home. */
    @Test
    void whatIsBelievedNowhereIsAskedForAndTheCallGoesWhereACopyStands() {
        for (String holder : List.of("b", "c", "d", "e")) {
            Recorder t = loading();
            t.fleet("b", "c", "d", "e");
            t.stands.add(holder + " f1");
            assertEquals(holder, t.sentTo(t.query("f1")));
        }
    }

    /** Where memory is short a copy out of its function's place is not kept in use: it pushes out others, whose calls load for ever. */
    @Test
    void aCopyOutOfItsPlaceIsNotUsedWhereMemoryIsShort() {
        String place = fourthOnFullWorkers(null);
        for (String holder : List.of("b", "c", "d", "e")) {
            assertEquals(place, fourthOnFullWorkers(holder));
        }
    }

    /** Where the fourth function goes, each of which fills a worker, if a copy of it stands on that one. */
    private static String fourthOnFullWorkers(String holder) {
        Recorder t = loading();
        t.memoryMb = 600; // of 1,000 on each
        t.fleet("b", "c", "d", "e");
        for (int i = 0; i < 3; i++) {
            t.query("g" + i);
        }
        t.stands.add(holder + " f1");
        return t.sentTo(t.query("f1"));
    }

    private static Recorder silentHomes(Recorder t) {
        t.answersAsks = false;
        t.fleet("b", "c", "d", "e");
        return t;
    }

    @Test
    void theFirstThatHasACopyIsNotHeldUpByOneThatIsSilent() {
        Recorder t = silentHomes(loading());
        String q = t.query("f1");
        assertNull(t.sentTo(q));
        t.choice.onLoadCompleted(t.now, "c", "f1", 0, SERVED, Recorder.MS);
        assertNull(t.sentTo(q));
        t.choice.onLoadCompleted(t.now, "d", "f1", 1, SERVED, Recorder.MS);
        assertEquals("d", t.sentTo(q));
        t.choice.onLoadCompleted(t.now, "b", "f1", 0, TIMEOUT, 40); // late ones tell no load's end
        t.choice.onLoadCompleted(t.now, "e", "f1", 1, SERVED, 40);
        assertEquals(1, t.attempts(q));
    }

    @Test
    void whereNobodyAnswersTheCallGoesOnToItsHome() {
        Recorder asks = silentHomes(loading());
        String q = asks.query("f1");
        asks.due("look:" + q);
        Recorder none = loading();
        none.fleet("b", "c", "d", "e");
        assertEquals(none.sentTo(none.query("f1")), asks.sentTo(q));
    }

    /** Callers that come again with what was refused would have the homes asked again each time. */
    @Test
    void whatNobodyHasIsNotAskedForAgainAtOnce() {
        Recorder t = loading();
        t.fleet("b", "c", "d", "e");
        for (int i = 0; i < 12; i++) {
            t.query("g" + i); // nobody has them: as many loads are out as may be
        }
        assertTrue(t.did("refuse " + t.query("f1")));
        t.answersAsks = false;
        t.lines.clear();
        assertTrue(t.did("refuse " + t.query("f1")));
        assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("hold ")));
        t.pass(1100);
        t.query("f1");
        assertTrue(t.lines.stream().anyMatch(l -> l.startsWith("hold ")));
    }

    @Test
    void inLargeGroupsHomesMeetByThemselvesAndNobodyAsks() {
        Recorder t = silentHomes(new Recorder(Recorder.among(100, false, true)));
        assertTrue(t.sentTo(t.query("f1")) != null);
        assertFalse(t.lines.stream().anyMatch(l -> l.startsWith("hold ")));
    }

    /** A lone worker may load as many copies as it likes: waiting for lanes would only hold calls up. */
    @Test
    void belowTheLoadLimitNoCallWaitsForALane() {
        Recorder t = loading();
        t.lanes = 1;
        t.fleet("b");
        t.served(t.query("f1"));
        for (int i = 0; i < 5; i++) {
            assertEquals("b", t.sentTo(t.query("f1")));
        }
    }

    /** At the load limit: behind a taken lane the worker would load what the limit holds back. */
    @Test
    void whileNoMoreMayLoadACallWaitsForALaneAndNotForLong() {
        Recorder t = loading();
        t.lanes = 1;
        t.fleet("b", "c", "d", "e");
        String first = t.query("f1");
        t.served(first);
        String taken = t.query("f1");
        for (int i = 0; i < 12; i++) {
            t.query("g" + i); // nobody has them: as many loads are out as may be
        }
        String waits = t.query("f1");
        assertNull(t.sentTo(waits));
        t.served(taken);
        t.due("sweep");
        assertEquals(t.sentTo(taken), t.sentTo(waits));
        String late = t.query("f1");
        t.pass(160); // over a quarter of the aim
        t.due("sweep");
        assertEquals(t.sentTo(taken), t.sentTo(late));
    }
}

package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/** Hard cases of a worker's copies, an event at a time. */
class CopyDecisionsTest {
    private static final MemoryEstimate TEN = new MemoryEstimate(10, 1);
    private static final long FAR = 1_000_000;
    private final List<String> said = new ArrayList<>();
    private CopyScheduler d = of(true, true);

    private CopyScheduler of(boolean loadsOnCall, boolean further) {
        return new CopyScheduler(
                new CopySettings(50, 10, 8, 2, 16, 1000, loadsOnCall, further), new CopyScheduler.Actions() {
                    @Override
                    public void load(long copy, String function, long bookedKb) {
                        said.add("load " + copy + " " + function);
                    }

                    @Override
                    public void run(long call, long copy) {
                        said.add("run " + call + " on " + copy);
                    }

                    @Override
                    public void interrupt(long call) {
                        said.add("interrupt " + call);
                    }

                    @Override
                    public void answer(long call, CopyScheduler.Answer answer, CopyScheduler.Met met, int company) {
                        said.add("answer " + call + " " + answer + " " + met);
                    }

                    @Override
                    public void answerOrder(long order, CopyScheduler.OrderAnswer answer, int ready) {
                        said.add("order " + order + " " + answer + " " + ready);
                    }

                    @Override
                    public void stop(long copy) {
                        said.add("stop " + copy);
                    }

                    @Override
                    public void drained() {
                        said.add("drained");
                    }
                });
    }

    private String took() {
        String all = String.join(", ", said);
        said.clear();
        return all;
    }

    private void ready(long copy, int kb, int lanes) {
        assertTrue(d.measured(0, copy, new MemoryEstimate(kb, lanes)));
        d.loadEnded(0, copy, LoadEnd.READY);
    }

    @Test
    void aCallLoadsWaitsAndRuns() {
        d.call(0, 100, "f", TEN, FAR);
        assertEquals("load 1 f", took());
        d.call(0, 101, "f", TEN, FAR);
        assertEquals("", took(), "a load is coming: no second one");
        ready(1, 10, 2);
        assertEquals("run 100 on 1, run 101 on 1", took());
        d.callEnded(1, 100, CallEnd.SERVED);
        d.callEnded(1, 101, CallEnd.ERROR);
        assertEquals("answer 100 SERVED BEGAN, answer 101 ERROR null", took());
        d.call(2, 102, "f", TEN, FAR);
        d.callEnded(3, 102, CallEnd.SERVED);
        assertEquals("run 102 on 1, answer 102 SERVED FOUND", took());
    }

    @Test
    void whereOnlyOrdersLoadACallIsAMiss() {
        d = of(false, false);
        d.call(0, 1, "f", TEN, FAR);
        assertEquals("answer 1 MISS null", took());
        d.hold(0, 2, "f", 1, TEN);
        d.call(0, 3, "f", TEN, FAR);
        assertEquals("load 1 f", took(), "one that is coming is waited for");
        ready(1, 10, 1);
        assertEquals("run 3 on 1, order 2 SERVED 1", took());
    }

    @Test
    void memoryForEitherOfTwoLoadsButNotBothGoesToTheFirst() {
        d.call(0, 1, "f", new MemoryEstimate(30, 1), FAR);
        d.call(0, 2, "g", new MemoryEstimate(30, 1), FAR);
        assertEquals("load 1 f, answer 2 FULL null", took());
        ready(1, 30, 1);
        d.callEnded(0, 1, CallEnd.SERVED);
        took();
        d.call(1, 3, "g", new MemoryEstimate(30, 1), FAR);
        assertEquals("stop 1", took(), "the idle one goes, and the load waits until its memory is free");
        d.stopped(2, 1);
        assertEquals("load 2 g", took());
    }

    @Test
    void anOrderForSixteenWhereFiveFitIsFullWithFive() {
        d.hold(0, 1, "f", 16, TEN);
        for (int copy = 1; copy <= 5; copy++) {
            ready(copy, 10, 1);
        }
        assertEquals("load 1 f, load 2 f, load 3 f, load 4 f, load 5 f, order 1 FULL 5", took());
    }

    @Test
    void anOrderToUnloadLeavesTheCopyThatAnswers() {
        d.hold(0, 1, "f", 2, TEN);
        ready(1, 10, 1);
        ready(2, 10, 1);
        d.call(0, 5, "f", TEN, FAR);
        took();
        d.unload(0, "f");
        assertEquals("stop 2", took());
        d.call(0, 6, "f", TEN, FAR);
        d.callEnded(1, 5, CallEnd.SERVED);
        assertEquals("load 3 f, answer 5 SERVED FOUND, run 6 on 1", took());
        d.unload(1, "f");
        assertEquals("", took(), "the copy was picked again before it could be called idle");
    }

    @Test
    void aLoadThatNobodyWaitsForIsLeftOut() {
        d.call(0, 1, "a", TEN, FAR);
        d.call(0, 2, "b", TEN, FAR);
        d.call(0, 3, "c", TEN, FAR);
        assertEquals("load 1 a, load 2 b", took(), "two at once");
        d.cancelled(0, 3);
        d.cancelled(0, 1);
        d.loadEnded(0, 1, LoadEnd.READY);
        d.loadEnded(0, 2, LoadEnd.READY);
        assertEquals("run 2 on 2", took());
        assertEquals(0, d.loads());
    }

    @Test
    void aPackageThatNeedsMoreThanWasToldIsLoadedAnewWithItsOwnFigure() {
        d.hold(0, 9, "g", 2, TEN);
        ready(1, 10, 1);
        ready(2, 10, 1);
        took();
        d.call(0, 1, "f", TEN, FAR);
        assertEquals("load 3 f", took());
        assertTrue(!d.measured(0, 3, new MemoryEstimate(40, 1)), "30 are free");
        d.loadEnded(0, 3, LoadEnd.MISJUDGED);
        assertEquals("stop 1", took(), "one idle copy makes room");
        d.stopped(0, 1);
        assertEquals("load 4 f", took());
        ready(4, 40, 1);
        assertEquals("run 1 on 4", took());
    }

    @Test
    void aCallOverItsLimitIsGivenUpAndItsMemoryStaysCounted() {
        d.call(0, 1, "f", TEN, FAR);
        ready(1, 10, 1);
        took();
        d.callEnded(5, 1, CallEnd.OVER_LIMIT);
        assertEquals("answer 1 ERROR null, load 2 f", took(), "its copy is replaced");
        assertEquals(10, d.ledger().in(Part.STUCK));
        d.threadBack(9, 1);
        assertEquals("stop 1", took());
        d.stopped(9, 1);
        assertEquals(0, d.ledger().in(Part.STUCK));
    }

    @Test
    void aFailedLoadAnswersItsCallsAndItsOrders() {
        d.call(0, 1, "f", TEN, FAR);
        d.hold(0, 2, "f", 1, TEN);
        took();
        d.loadEnded(0, 1, LoadEnd.FAILED_STUCK);
        assertEquals("answer 1 MISS_LOAD_FAILED null, order 2 ERROR 0", took());
        assertEquals(10, d.ledger().in(Part.STUCK));
        assertEquals(0.2, d.ledger().busyShare(), 1e-9, "it shows in the report");
    }

    @Test
    void whatLeaksIsNotFree() {
        d.leaked(0, 45);
        d.call(0, 1, "f", TEN, FAR);
        assertEquals("answer 1 FULL null", took());
        assertEquals(0.9, d.ledger().busyShare(), 1e-9);
    }

    @Test
    void aDrainFinishesAFullQueueAndTakesNothingNew() {
        d.call(0, 1, "f", TEN, FAR);
        ready(1, 10, 1);
        for (int call = 2; call < 10; call++) {
            d.call(0, call, "f", TEN, FAR);
        }
        d.call(0, 10, "f", TEN, FAR);
        assertTrue(took().endsWith("answer 10 FULL null"), "the queue is full");
        d.hold(0, 50, "g", 1, TEN);
        d.drain(0);
        d.call(0, 11, "f", TEN, FAR);
        d.hold(0, 51, "f", 1, TEN);
        assertTrue(took().contains("answer 11 FULL null, order 51 FULL 1"));
        for (int call = 1; call < 10; call++) {
            d.callEnded(0, call, CallEnd.SERVED);
        }
        assertTrue(took().endsWith("answer 9 SERVED WAITED, drained"));
    }

    @Test
    void idleCopiesGoAfterTheirTimeAndOrdersBeginItAnew() {
        d.hold(0, 1, "f", 1, TEN);
        ready(1, 10, 1);
        d.hold(900, 2, "f", 1, TEN);
        took();
        d.tick(1500);
        assertEquals("", took());
        d.tick(2000);
        assertEquals("stop 1", took());
    }
}

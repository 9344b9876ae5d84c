package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/** Edge cases of the scheduling within a worker, one event at a time. */
class CopySchedulerTest {
    private static final MemoryEstimate TEN_KB = new MemoryEstimate(10, 1);
    private static final long NEVER_EXPIRES = 1_000_000;
    private final List<String> actions = new ArrayList<>();
    private CopyScheduler scheduler = newScheduler(true, true);

    private CopyScheduler newScheduler(boolean loadsOnCall, boolean addsCopiesOnCall) {
        return new CopyScheduler(
                new CopySettings(50, 10, 8, 2, 16, 1000, loadsOnCall, addsCopiesOnCall), new CopyScheduler.Actions() {
                    @Override
                    public void startLoad(long copy, String function, long bookedKb) {
                        actions.add("load " + copy + " " + function);
                    }

                    @Override
                    public void startCall(long call, long copy) {
                        actions.add("run " + call + " on " + copy);
                    }

                    @Override
                    public void interruptCall(long call) {
                        actions.add("interrupt " + call);
                    }

                    @Override
                    public void completeCall(
                            long call,
                            CopyScheduler.Answer answer,
                            CopyScheduler.CopyUse copyUse,
                            int concurrentCalls) {
                        actions.add("answer " + call + " " + answer + " " + copyUse);
                    }

                    @Override
                    public void completeOrder(long order, CopyScheduler.OrderAnswer answer, int readyCopies) {
                        actions.add("order " + order + " " + answer + " " + readyCopies);
                    }

                    @Override
                    public void unloadCopy(long copy) {
                        actions.add("stop " + copy);
                    }

                    @Override
                    public void onDrained() {
                        actions.add("drained");
                    }
                });
    }

    /** Returns the actions recorded since the previous call. */
    private String takeActions() {
        String all = String.join(", ", actions);
        actions.clear();
        return all;
    }

    private void completeLoad(long copy, int kb, int lanes) {
        assertTrue(scheduler.onMemoryMeasured(0, copy, new MemoryEstimate(kb, lanes)));
        scheduler.onLoadCompleted(0, copy, LoadEnd.READY);
    }

    @Test
    void call_ofUnloadedFunction_startsLoadWaitsAndRuns() {
        scheduler.onCall(0, 100, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("load 1 f", takeActions());
        scheduler.onCall(0, 101, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("", takeActions(), "a load is pending, so no second one starts");
        completeLoad(1, 10, 2);
        assertEquals("run 100 on 1, run 101 on 1", takeActions());
        scheduler.onCallCompleted(1, 100, CallEnd.SERVED);
        scheduler.onCallCompleted(1, 101, CallEnd.ERROR);
        assertEquals("answer 100 SERVED COLD_START, answer 101 ERROR null", takeActions());
        scheduler.onCall(2, 102, "f", TEN_KB, NEVER_EXPIRES);
        scheduler.onCallCompleted(3, 102, CallEnd.SERVED);
        assertEquals("run 102 on 1, answer 102 SERVED ALREADY_LOADED", takeActions());
    }

    @Test
    void call_whereOnlyOrdersLoad_isMiss() {
        scheduler = newScheduler(false, false);
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("answer 1 MISS null", takeActions());
        scheduler.onLoadOrder(0, 2, "f", 1, TEN_KB);
        scheduler.onCall(0, 3, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("load 1 f", takeActions(), "the call waits for the pending load");
        completeLoad(1, 10, 1);
        assertEquals("run 3 on 1, order 2 SERVED 1", takeActions());
    }

    @Test
    void memoryForOneOfTwoLoads_goesToTheFirst() {
        scheduler.onCall(0, 1, "f", new MemoryEstimate(30, 1), NEVER_EXPIRES);
        scheduler.onCall(0, 2, "g", new MemoryEstimate(30, 1), NEVER_EXPIRES);
        assertEquals("load 1 f, answer 2 FULL null", takeActions());
        completeLoad(1, 30, 1);
        scheduler.onCallCompleted(0, 1, CallEnd.SERVED);
        takeActions();
        scheduler.onCall(1, 3, "g", new MemoryEstimate(30, 1), NEVER_EXPIRES);
        assertEquals("stop 1", takeActions(), "the idle copy is evicted, and the load waits until its memory is free");
        scheduler.onCopyUnloaded(2, 1);
        assertEquals("load 2 g", takeActions());
    }

    @Test
    void orderForSixteenCopies_whereFiveFit_isFullWithFive() {
        scheduler.onLoadOrder(0, 1, "f", 16, TEN_KB);
        for (int copy = 1; copy <= 5; copy++) {
            completeLoad(copy, 10, 1);
        }
        assertEquals("load 1 f, load 2 f, load 3 f, load 4 f, load 5 f, order 1 FULL 5", takeActions());
    }

    @Test
    void unload_leavesCopyThatRunsACall() {
        scheduler.onLoadOrder(0, 1, "f", 2, TEN_KB);
        completeLoad(1, 10, 1);
        completeLoad(2, 10, 1);
        scheduler.onCall(0, 5, "f", TEN_KB, NEVER_EXPIRES);
        takeActions();
        scheduler.onUnloadOrder(0, "f");
        assertEquals("stop 2", takeActions());
        scheduler.onCall(0, 6, "f", TEN_KB, NEVER_EXPIRES);
        scheduler.onCallCompleted(1, 5, CallEnd.SERVED);
        assertEquals("load 3 f, answer 5 SERVED ALREADY_LOADED, run 6 on 1", takeActions());
        scheduler.onUnloadOrder(1, "f");
        assertEquals("", takeActions(), "the copy runs the waiting call and does not become idle");
    }

    @Test
    void queuedLoad_whoseCallIsCancelled_isNotStarted() {
        scheduler.onCall(0, 1, "a", TEN_KB, NEVER_EXPIRES);
        scheduler.onCall(0, 2, "b", TEN_KB, NEVER_EXPIRES);
        scheduler.onCall(0, 3, "c", TEN_KB, NEVER_EXPIRES);
        assertEquals("load 1 a, load 2 b", takeActions(), "at most two loads are in progress");
        scheduler.onCallCancelled(0, 3);
        scheduler.onCallCancelled(0, 1);
        scheduler.onLoadCompleted(0, 1, LoadEnd.READY);
        scheduler.onLoadCompleted(0, 2, LoadEnd.READY);
        assertEquals("run 2 on 2", takeActions());
        assertEquals(0, scheduler.pendingLoads());
    }

    @Test
    void loadOfPackageThatNeedsMore_isRetriedWithMeasuredMemory() {
        scheduler.onLoadOrder(0, 9, "g", 2, TEN_KB);
        completeLoad(1, 10, 1);
        completeLoad(2, 10, 1);
        takeActions();
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("load 3 f", takeActions());
        assertTrue(!scheduler.onMemoryMeasured(0, 3, new MemoryEstimate(40, 1)), "the load can get only 30 KiB");
        scheduler.onLoadCompleted(0, 3, LoadEnd.NEEDS_MORE_MEMORY);
        assertEquals("stop 1", takeActions(), "one idle copy is evicted for the load");
        scheduler.onCopyUnloaded(0, 1);
        assertEquals("load 4 f", takeActions());
        completeLoad(4, 40, 1);
        assertEquals("run 1 on 4", takeActions());
    }

    @Test
    void callOverItsLimit_isAnsweredAndItsMemoryStaysBooked() {
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        completeLoad(1, 10, 1);
        takeActions();
        scheduler.onCallCompleted(5, 1, CallEnd.OVER_LIMIT);
        assertEquals("answer 1 ERROR null, load 2 f", takeActions(), "its copy is replaced");
        assertEquals(10, scheduler.memory().bookedKb(Part.STUCK));
        scheduler.onOverdueThreadReturned(9, 1);
        assertEquals("stop 1", takeActions());
        scheduler.onCopyUnloaded(9, 1);
        assertEquals(0, scheduler.memory().bookedKb(Part.STUCK));
    }

    @Test
    void failedLoad_answersItsCallsAndOrders() {
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        scheduler.onLoadOrder(0, 2, "f", 1, TEN_KB);
        takeActions();
        scheduler.onLoadCompleted(0, 1, LoadEnd.FAILED_STUCK);
        assertEquals("answer 1 MISS_LOAD_FAILED null, order 2 ERROR 0", takeActions());
        assertEquals(10, scheduler.memory().bookedKb(Part.STUCK));
        assertEquals(0.2, scheduler.memory().busyShare(), 1e-9, "the memory of a stuck copy counts as busy");
    }

    @Test
    void leakedMemory_isNotFree() {
        scheduler.onLeakMeasured(0, 45);
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        assertEquals("answer 1 FULL null", takeActions());
        assertEquals(0.9, scheduler.memory().busyShare(), 1e-9);
    }

    @Test
    void drain_finishesQueuedCallsAndRejectsNewOnes() {
        scheduler.onCall(0, 1, "f", TEN_KB, NEVER_EXPIRES);
        completeLoad(1, 10, 1);
        for (int call = 2; call < 10; call++) {
            scheduler.onCall(0, call, "f", TEN_KB, NEVER_EXPIRES);
        }
        scheduler.onCall(0, 10, "f", TEN_KB, NEVER_EXPIRES);
        assertTrue(takeActions().endsWith("answer 10 FULL null"), "the queue is full");
        scheduler.onLoadOrder(0, 50, "g", 1, TEN_KB);
        scheduler.onDrain(0);
        scheduler.onCall(0, 11, "f", TEN_KB, NEVER_EXPIRES);
        scheduler.onLoadOrder(0, 51, "f", 1, TEN_KB);
        assertTrue(takeActions().contains("answer 11 FULL null, order 51 FULL 1"));
        for (int call = 1; call < 10; call++) {
            scheduler.onCallCompleted(0, call, CallEnd.SERVED);
        }
        assertTrue(takeActions().endsWith("answer 9 SERVED AWAITED_LOAD, drained"));
    }

    @Test
    void idleCopy_isUnloadedAfterItsTime_whichAnOrderRestarts() {
        scheduler.onLoadOrder(0, 1, "f", 1, TEN_KB);
        completeLoad(1, 10, 1);
        scheduler.onLoadOrder(900, 2, "f", 1, TEN_KB);
        takeActions();
        scheduler.onTick(1500);
        assertEquals("", takeActions());
        scheduler.onTick(2000);
        assertEquals("stop 1", takeActions());
    }
}

package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wharfhinge.decisions.copies.CopyScheduler.Answer;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;
import wharfhinge.decisions.copies.CopyScheduler.CopyUse;
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.CopyScheduler.OrderAnswer;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * Runs ten thousand random sequences of calls, orders, failures and hangs. A fake process sees only the actions and tracks the memory
 * that a real one would hold for each copy; the accounting must agree with it, and each call and order must get exactly one answer.
 */
class CopySchedulerPropertiesTest {
    private static final long TOTAL_KB = 100;

    /** Stands in for the worker process: changed by actions, and by the test when something ends. */
    private static final class FakeProcess implements CopyScheduler.Actions {
        private final Map<Long, Long> heldKbByCopy = new LinkedHashMap<>();
        private final Map<Long, String> functionByLoadingCopy = new LinkedHashMap<>();
        private final Map<Long, Integer> lanesByCopy = new HashMap<>();
        private final Map<Long, Integer> runningCallsByCopy = new HashMap<>();
        private final Map<Long, Long> copyByRunningCall = new LinkedHashMap<>();
        private final Set<Long> unloading = new HashSet<>();
        private final Set<Long> stuck = new HashSet<>();
        private final List<Long> copiesOfOverdueThreads = new ArrayList<>(); // one entry for each thread
        private final Map<Long, Answer> answers = new HashMap<>();
        private final Set<Long> waitingOrders = new HashSet<>();
        private final int maxLoads;
        private boolean drained;

        FakeProcess(int maxLoads) {
            this.maxLoads = maxLoads;
        }

        @Override
        public void startLoad(long copy, String function, long kb) {
            heldKbByCopy.put(copy, kb);
            functionByLoadingCopy.put(copy, function);
            assertTrue(functionByLoadingCopy.size() <= maxLoads, "more loads in progress than allowed");
            assertTrue(heldKb() <= TOTAL_KB, "more memory held than the worker has");
        }

        @Override
        public void startCall(long call, long copy) {
            assertTrue(
                    lanesByCopy.containsKey(copy) && !unloading.contains(copy) && !stuck.contains(copy),
                    "a call was started on a copy that is not ready");
            runningCallsByCopy.merge(copy, 1, Integer::sum);
            assertTrue(runningCallsByCopy.get(copy) <= lanesByCopy.get(copy), "more calls on a copy than it has lanes");
            copyByRunningCall.put(call, copy);
        }

        @Override
        public void interruptCall(long call) {
            assertTrue(copyByRunningCall.containsKey(call));
        }

        @Override
        public void completeCall(long call, Answer answer, CopyUse copyUse, int concurrentCalls) {
            assertTrue(answers.put(call, answer) == null, "a second answer to a call");
            assertEquals(answer == Answer.SERVED, copyUse != null);
        }

        @Override
        public void completeOrder(long order, OrderAnswer answer, int readyCopies) {
            assertTrue(waitingOrders.remove(order), "an answer to an order that is not waiting");
        }

        @Override
        public void unloadCopy(long copy) {
            assertEquals(0, runningCallsByCopy.getOrDefault(copy, 0), "a copy was unloaded while it ran calls");
            assertTrue(unloading.add(copy), "a copy was unloaded twice");
        }

        @Override
        public void onDrained() {
            assertTrue(!drained && copyByRunningCall.isEmpty());
            drained = true;
        }

        long heldKb() {
            return heldKbByCopy.values().stream().mapToLong(Long::longValue).sum();
        }

        private void release(long copy) {
            heldKbByCopy.remove(copy);
            lanesByCopy.remove(copy);
            runningCallsByCopy.remove(copy);
            unloading.remove(copy);
            stuck.remove(copy);
        }
    }

    @Property(tries = 10_000, seed = "16")
    void accounting_matchesMemoryOfTheProcess(@ForAll long seed) {
        Random random = new Random(seed);
        FakeProcess process = new FakeProcess(1 + random.nextInt(3));
        CopyScheduler scheduler = new CopyScheduler(
                new CopySettings(
                        TOTAL_KB,
                        20,
                        1 + random.nextInt(6),
                        process.maxLoads,
                        1 + random.nextInt(5),
                        50,
                        random.nextBoolean(),
                        random.nextBoolean()),
                process);
        Set<Long> submittedCalls = new HashSet<>();
        Set<Long> cancelledCalls = new HashSet<>();
        long now = 0;
        long nextId = 1;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(8);
            String function = "f" + random.nextInt(4);
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3 -> {
                    submittedCalls.add(nextId);
                    scheduler.onCall(
                            now,
                            nextId++,
                            function,
                            new MemoryEstimate(random.nextInt(3) * 15, 0),
                            now + 5 + random.nextInt(60));
                }
                case 4 -> {
                    process.waitingOrders.add(nextId);
                    scheduler.onLoadOrder(now, nextId++, function, random.nextInt(6), MemoryEstimate.UNKNOWN);
                }
                case 5 -> scheduler.onUnloadOrder(now, function);
                case 6 -> {
                    if (!submittedCalls.isEmpty()) {
                        long call = submittedCalls.iterator().next();
                        cancelledCalls.add(call);
                        scheduler.onCallCancelled(now, call);
                    }
                }
                case 7 -> scheduler.onTick(now);
                case 8 -> {
                    if (!process.waitingOrders.isEmpty()) {
                        long order = process.waitingOrders.iterator().next();
                        scheduler.onLoadOrderCancelled(now, order);
                        process.waitingOrders.remove(order);
                    }
                }
                case 9 -> {
                    if (step > 45) {
                        scheduler.onDrain(now);
                    }
                }
                default -> advance(now, scheduler, process, random, false);
            }
            assertAccounting(scheduler, process);
        }
        scheduler.onDrain(now);
        for (int round = 0;
                round < 400
                        && !(process.copyByRunningCall.isEmpty()
                                && process.functionByLoadingCopy.isEmpty()
                                && scheduler.queuedCalls() == 0);
                round++) {
            now += 5;
            scheduler.onTick(now);
            advance(now, scheduler, process, random, true);
            assertAccounting(scheduler, process);
        }
        assertEquals(0, scheduler.callsInFlight());
        assertTrue(process.drained, "the end of the graceful shutdown was not reported");
        submittedCalls.removeAll(cancelledCalls);
        for (long call : submittedCalls) {
            assertTrue(process.answers.containsKey(call), "call " + call + " has no answer");
        }
        assertTrue(process.waitingOrders.isEmpty(), "orders without an answer: " + process.waitingOrders);
        for (long copy : List.copyOf(process.copiesOfOverdueThreads)) { // finally all overdue threads return
            scheduler.onOverdueThreadReturned(now, copy);
        }
        for (long copy : List.copyOf(process.stuck)) {
            process.release(copy);
            scheduler.onCopyUnloaded(now, copy);
        }
        for (long copy : List.copyOf(process.unloading)) {
            process.release(copy);
            scheduler.onCopyUnloaded(now, copy);
        }
        assertEquals(process.heldKb(), scheduler.memory().totalBookedKb());
    }

    private static void assertAccounting(CopyScheduler scheduler, FakeProcess process) {
        assertEquals(process.heldKb(), scheduler.memory().totalBookedKb(), "the accounting differs from the process");
        assertEquals(TOTAL_KB - process.heldKb(), scheduler.memory().freeKb());
        long working = process.runningCallsByCopy.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .mapToLong(entry -> process.heldKbByCopy.get(entry.getKey()))
                .sum();
        assertEquals(working, scheduler.memory().bookedKb(Part.WORKING));
        assertEquals(
                process.stuck.stream().mapToLong(process.heldKbByCopy::get).sum(),
                scheduler.memory().bookedKb(Part.STUCK));
        assertEquals(
                process.functionByLoadingCopy.keySet().stream()
                        .mapToLong(process.heldKbByCopy::get)
                        .sum(),
                scheduler.memory().bookedKb(Part.LOADING));
    }

    /** Ends a load, call or unload that is in progress, successfully or not. */
    private static void advance(
            long now, CopyScheduler scheduler, FakeProcess process, Random random, boolean succeeds) {
        int kind = random.nextInt(3);
        if (kind == 0 && !process.functionByLoadingCopy.isEmpty()) {
            endLoad(now, scheduler, process, random, succeeds);
        } else if (kind == 1 && !process.copyByRunningCall.isEmpty()) {
            Map.Entry<Long, Long> run =
                    process.copyByRunningCall.entrySet().iterator().next();
            process.copyByRunningCall.remove(run.getKey());
            process.runningCallsByCopy.merge(run.getValue(), -1, Integer::sum);
            CallEnd end = CallEnd.values()[random.nextInt(succeeds ? 2 : 4)];
            long copy = run.getValue();
            if (end == CallEnd.OVER_LIMIT) {
                process.copiesOfOverdueThreads.add(copy);
            }
            boolean isLastCall = process.runningCallsByCopy.get(copy) == 0;
            boolean hasOverdueThread = process.copiesOfOverdueThreads.contains(copy);
            if (hasOverdueThread && isLastCall) {
                process.stuck.add(copy);
            }
            scheduler.onCallCompleted(now, run.getKey(), end);
        } else if (!process.unloading.isEmpty()) {
            long copy = process.unloading.iterator().next();
            if (!succeeds && random.nextInt(4) == 0) {
                process.unloading.remove(copy);
                process.stuck.add(copy);
                scheduler.onCopyStuck(now, copy);
            } else {
                process.release(copy);
                scheduler.onCopyUnloaded(now, copy);
            }
        }
    }

    private static void endLoad(
            long now, CopyScheduler scheduler, FakeProcess process, Random random, boolean succeeds) {
        long copy = process.functionByLoadingCopy.keySet().iterator().next();
        long kb = 10 + 5L * random.nextInt(5);
        int lanes = 1 + random.nextInt(2);
        long booked = process.heldKbByCopy.get(copy);
        process.heldKbByCopy.put(
                copy, Math.min(kb, booked)); // nothing is mapped yet, so memory that is not needed is free at once
        if (!scheduler.onMemoryMeasured(now, copy, new MemoryEstimate(kb, lanes))) {
            process.functionByLoadingCopy.remove(copy);
            process.release(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.NEEDS_MORE_MEMORY);
            return;
        }
        process.heldKbByCopy.put(copy, kb);
        assertAccounting(scheduler, process);
        process.functionByLoadingCopy.remove(copy);
        int kind = succeeds ? 0 : random.nextInt(5);
        if (kind == 1) {
            process.release(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.FAILED);
        } else if (kind == 2) {
            process.stuck.add(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.FAILED_STUCK);
        } else {
            process.lanesByCopy.put(copy, lanes);
            scheduler.onLoadCompleted(now, copy, LoadEnd.READY);
        }
    }
}

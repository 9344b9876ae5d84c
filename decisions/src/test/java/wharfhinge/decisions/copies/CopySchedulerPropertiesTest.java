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
 * Ten thousand sequences of calls, orders, failures and hangs. A fake process sees the actions alone and knows
 * what memory a real one would hold for each copy; the accounting must agree, and each call and order gets one answer.
 */
class CopySchedulerPropertiesTest {
    private static final long TOTAL_KB = 100;

    /** Stands for the process: changed by actions, and by the test where something ends. */
    private static final class FakeProcess implements CopyScheduler.Actions {
        private final Map<Long, Long> memory = new LinkedHashMap<>(); // KiB held for a copy
        private final Map<Long, String> loading = new LinkedHashMap<>();
        private final Map<Long, Integer> lanes = new HashMap<>();
        private final Map<Long, Integer> running = new HashMap<>();
        private final Map<Long, Long> runs = new LinkedHashMap<>(); // call, copy
        private final Set<Long> stopping = new HashSet<>();
        private final Set<Long> stuck = new HashSet<>();
        private final List<Long> overdue = new ArrayList<>(); // copies, one for each thread
        private final Map<Long, Answer> answers = new HashMap<>();
        private final Set<Long> orders = new HashSet<>();
        private final int maxLoads;
        private boolean drained;

        FakeProcess(int maxLoads) {
            this.maxLoads = maxLoads;
        }

        @Override
        public void startLoad(long copy, String function, long kb) {
            memory.put(copy, kb);
            loading.put(copy, function);
            assertTrue(loading.size() <= maxLoads, "more loads at once than allowed");
            assertTrue(heldKb() <= TOTAL_KB, "more memory than there is");
        }

        @Override
        public void startCall(long call, long copy) {
            assertTrue(
                    lanes.containsKey(copy) && !stopping.contains(copy) && !stuck.contains(copy),
                    "ran on what is no copy");
            running.merge(copy, 1, Integer::sum);
            assertTrue(running.get(copy) <= lanes.get(copy), "more calls than lanes");
            runs.put(call, copy);
        }

        @Override
        public void interruptCall(long call) {
            assertTrue(runs.containsKey(call));
        }

        @Override
        public void completeCall(long call, Answer answer, CopyUse met, int company) {
            assertTrue(answers.put(call, answer) == null, "a second answer");
            assertEquals(answer == Answer.SERVED, met != null);
        }

        @Override
        public void completeOrder(long order, OrderAnswer answer, int ready) {
            assertTrue(orders.remove(order), "an answer nobody waits for");
        }

        @Override
        public void unloadCopy(long copy) {
            assertEquals(0, running.getOrDefault(copy, 0), "stopped while at work");
            assertTrue(stopping.add(copy), "stopped twice");
        }

        @Override
        public void onDrained() {
            assertTrue(!drained && runs.isEmpty());
            drained = true;
        }

        long heldKb() {
            return memory.values().stream().mapToLong(Long::longValue).sum();
        }

        private void release(long copy) {
            memory.remove(copy);
            lanes.remove(copy);
            running.remove(copy);
            stopping.remove(copy);
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
        Set<Long> waiting = new HashSet<>();
        Set<Long> cancelled = new HashSet<>();
        long now = 0;
        long next = 1;
        for (int step = 0; step < 60; step++) {
            now += random.nextInt(8);
            String function = "f" + random.nextInt(4);
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3 -> {
                    waiting.add(next);
                    scheduler.onCall(
                            now,
                            next++,
                            function,
                            new MemoryEstimate(random.nextInt(3) * 15, 0),
                            now + 5 + random.nextInt(60));
                }
                case 4 -> {
                    process.orders.add(next);
                    scheduler.onLoadOrder(now, next++, function, random.nextInt(6), MemoryEstimate.UNKNOWN);
                }
                case 5 -> scheduler.onUnloadOrder(now, function);
                case 6 -> {
                    if (!waiting.isEmpty()) {
                        long call = waiting.iterator().next();
                        cancelled.add(call);
                        scheduler.onCallCancelled(now, call);
                    }
                }
                case 7 -> scheduler.onTick(now);
                case 8 -> {
                    if (!process.orders.isEmpty()) {
                        long order = process.orders.iterator().next();
                        scheduler.onLoadOrderCancelled(now, order);
                        process.orders.remove(order);
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
                round < 400 && !(process.runs.isEmpty() && process.loading.isEmpty() && scheduler.queuedCalls() == 0);
                round++) {
            now += 5;
            scheduler.onTick(now);
            advance(now, scheduler, process, random, true);
            assertAccounting(scheduler, process);
        }
        assertEquals(0, scheduler.callsInFlight());
        assertTrue(process.drained, "it never said that it had drained");
        waiting.removeAll(cancelled);
        for (long call : waiting) {
            assertTrue(process.answers.containsKey(call), "call " + call + " has no answer");
        }
        assertTrue(process.orders.isEmpty(), "orders without an answer: " + process.orders);
        for (long copy : List.copyOf(process.overdue)) { // at last all threads come back
            scheduler.onOverdueThreadReturned(now, copy);
        }
        for (long copy : List.copyOf(process.stuck)) {
            process.release(copy);
            scheduler.onCopyUnloaded(now, copy);
        }
        for (long copy : List.copyOf(process.stopping)) {
            process.release(copy);
            scheduler.onCopyUnloaded(now, copy);
        }
        assertEquals(process.heldKb(), scheduler.memory().totalBookedKb());
    }

    private static void assertAccounting(CopyScheduler scheduler, FakeProcess process) {
        assertEquals(process.heldKb(), scheduler.memory().totalBookedKb(), "the accounting differs from the process");
        assertEquals(TOTAL_KB - process.heldKb(), scheduler.memory().freeKb());
        long working = process.running.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .mapToLong(e -> process.memory.get(e.getKey()))
                .sum();
        assertEquals(working, scheduler.memory().bookedKb(Part.WORKING));
        assertEquals(
                process.stuck.stream().mapToLong(process.memory::get).sum(),
                scheduler.memory().bookedKb(Part.STUCK));
        assertEquals(
                process.loading.keySet().stream().mapToLong(process.memory::get).sum(),
                scheduler.memory().bookedKb(Part.LOADING));
    }

    /** Something that is under way ends, successfully or not. */
    private static void advance(
            long now, CopyScheduler scheduler, FakeProcess process, Random random, boolean succeeds) {
        int kind = random.nextInt(3);
        if (kind == 0 && !process.loading.isEmpty()) {
            endLoad(now, scheduler, process, random, succeeds);
        } else if (kind == 1 && !process.runs.isEmpty()) {
            Map.Entry<Long, Long> run = process.runs.entrySet().iterator().next();
            process.runs.remove(run.getKey());
            process.running.merge(run.getValue(), -1, Integer::sum);
            CallEnd how = CallEnd.values()[random.nextInt(succeeds ? 2 : 4)];
            long copy = run.getValue();
            if (how == CallEnd.OVER_LIMIT) {
                process.overdue.add(copy);
            }
            boolean last = process.running.get(copy) == 0;
            boolean hung = process.overdue.contains(copy);
            if (hung && last) {
                process.stuck.add(copy);
            }
            scheduler.onCallCompleted(now, run.getKey(), how);
        } else if (!process.stopping.isEmpty()) {
            long copy = process.stopping.iterator().next();
            if (!succeeds && random.nextInt(4) == 0) {
                process.stopping.remove(copy);
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
        long copy = process.loading.keySet().iterator().next();
        long kb = 10 + 5L * random.nextInt(5);
        int lanes = 1 + random.nextInt(2);
        long booked = process.memory.get(copy);
        process.memory.put(copy, Math.min(kb, booked)); // nothing is mapped yet; what is spared may be used at once
        if (!scheduler.onMemoryMeasured(now, copy, new MemoryEstimate(kb, lanes))) {
            process.loading.remove(copy);
            process.release(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.NEEDS_MORE_MEMORY);
            return;
        }
        process.memory.put(copy, kb);
        assertAccounting(scheduler, process);
        process.loading.remove(copy);
        int how = succeeds ? 0 : random.nextInt(5);
        if (how == 1) {
            process.release(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.FAILED);
        } else if (how == 2) {
            process.stuck.add(copy);
            scheduler.onLoadCompleted(now, copy, LoadEnd.FAILED_STUCK);
        } else {
            process.lanes.put(copy, lanes);
            scheduler.onLoadCompleted(now, copy, LoadEnd.READY);
        }
    }
}

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
import wharfhinge.decisions.copies.CopyScheduler.LoadEnd;
import wharfhinge.decisions.copies.CopyScheduler.Met;
import wharfhinge.decisions.copies.CopyScheduler.OrderAnswer;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * Ten thousand sequences of calls, orders, failures and hangs. A plain model hears the actions alone and knows, for each copy,
 * what memory a process would hold for it; the books must say the same, and each call and order has one answer.
 */
class CopyDecisionsPropertiesTest {
    private static final long TOTAL = 100;

    /** The process as it would be: told by actions, and by the test how things end. */
    private static final class Model implements CopyScheduler.Actions {
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
        private final int most;
        private boolean drained;

        Model(int most) {
            this.most = most;
        }

        @Override
        public void load(long copy, String function, long kb) {
            memory.put(copy, kb);
            loading.put(copy, function);
            assertTrue(loading.size() <= most, "more loads at once than allowed");
            assertTrue(held() <= TOTAL, "more memory than there is");
        }

        @Override
        public void run(long call, long copy) {
            assertTrue(
                    lanes.containsKey(copy) && !stopping.contains(copy) && !stuck.contains(copy),
                    "ran on what is no copy");
            running.merge(copy, 1, Integer::sum);
            assertTrue(running.get(copy) <= lanes.get(copy), "more calls than lanes");
            runs.put(call, copy);
        }

        @Override
        public void interrupt(long call) {
            assertTrue(runs.containsKey(call));
        }

        @Override
        public void answer(long call, Answer answer, Met met, int company) {
            assertTrue(answers.put(call, answer) == null, "a second answer");
            assertEquals(answer == Answer.SERVED, met != null);
        }

        @Override
        public void answerOrder(long order, OrderAnswer answer, int ready) {
            assertTrue(orders.remove(order), "an answer nobody waits for");
        }

        @Override
        public void stop(long copy) {
            assertEquals(0, running.getOrDefault(copy, 0), "stopped while at work");
            assertTrue(stopping.add(copy), "stopped twice");
        }

        @Override
        public void drained() {
            assertTrue(!drained && runs.isEmpty());
            drained = true;
        }

        long held() {
            return memory.values().stream().mapToLong(Long::longValue).sum();
        }

        private void gone(long copy) {
            memory.remove(copy);
            lanes.remove(copy);
            running.remove(copy);
            stopping.remove(copy);
            stuck.remove(copy);
        }
    }

    @Property(tries = 10_000, seed = "16")
    void theBooksAreThoseOfTheProcess(@ForAll long seed) {
        Random random = new Random(seed);
        Model model = new Model(1 + random.nextInt(3));
        CopyScheduler d = new CopyScheduler(
                new CopySettings(
                        TOTAL,
                        20,
                        1 + random.nextInt(6),
                        model.most,
                        1 + random.nextInt(5),
                        50,
                        random.nextBoolean(),
                        random.nextBoolean()),
                model);
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
                    d.call(
                            now,
                            next++,
                            function,
                            new MemoryEstimate(random.nextInt(3) * 15, 0),
                            now + 5 + random.nextInt(60));
                }
                case 4 -> {
                    model.orders.add(next);
                    d.hold(now, next++, function, random.nextInt(6), MemoryEstimate.UNKNOWN);
                }
                case 5 -> d.unload(now, function);
                case 6 -> {
                    if (!waiting.isEmpty()) {
                        long call = waiting.iterator().next();
                        cancelled.add(call);
                        d.cancelled(now, call);
                    }
                }
                case 7 -> d.tick(now);
                case 8 -> {
                    if (!model.orders.isEmpty()) {
                        long order = model.orders.iterator().next();
                        d.orderCancelled(now, order);
                        model.orders.remove(order);
                    }
                }
                case 9 -> {
                    if (step > 45) {
                        d.drain(now);
                    }
                }
                default -> progress(now, d, model, random, false);
            }
            check(d, model);
        }
        d.drain(now);
        for (int round = 0;
                round < 400 && !(model.runs.isEmpty() && model.loading.isEmpty() && d.waiting() == 0);
                round++) {
            now += 5;
            d.tick(now);
            progress(now, d, model, random, true);
            check(d, model);
        }
        assertEquals(0, d.held());
        assertTrue(model.drained, "it never said that it had drained");
        waiting.removeAll(cancelled);
        for (long call : waiting) {
            assertTrue(model.answers.containsKey(call), "call " + call + " has no answer");
        }
        assertTrue(model.orders.isEmpty(), "orders without an answer: " + model.orders);
        for (long copy : List.copyOf(model.overdue)) { // at last all threads come back
            d.threadBack(now, copy);
        }
        for (long copy : List.copyOf(model.stuck)) {
            model.gone(copy);
            d.stopped(now, copy);
        }
        for (long copy : List.copyOf(model.stopping)) {
            model.gone(copy);
            d.stopped(now, copy);
        }
        assertEquals(model.held(), d.ledger().held());
    }

    private static void check(CopyScheduler d, Model model) {
        assertEquals(model.held(), d.ledger().held(), "the books differ from the process");
        assertEquals(TOTAL - model.held(), d.ledger().free());
        long working = model.running.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .mapToLong(e -> model.memory.get(e.getKey()))
                .sum();
        assertEquals(working, d.ledger().in(Part.WORKING));
        assertEquals(
                model.stuck.stream().mapToLong(model.memory::get).sum(),
                d.ledger().in(Part.STUCK));
        assertEquals(
                model.loading.keySet().stream().mapToLong(model.memory::get).sum(),
                d.ledger().in(Part.LOADING));
    }

    /** Something that is under way ends, well or not. */
    private static void progress(long now, CopyScheduler d, Model model, Random random, boolean well) {
        int kind = random.nextInt(3);
        if (kind == 0 && !model.loading.isEmpty()) {
            loaded(now, d, model, random, well);
        } else if (kind == 1 && !model.runs.isEmpty()) {
            Map.Entry<Long, Long> run = model.runs.entrySet().iterator().next();
            model.runs.remove(run.getKey());
            model.running.merge(run.getValue(), -1, Integer::sum);
            CallEnd how = CallEnd.values()[random.nextInt(well ? 2 : 4)];
            long copy = run.getValue();
            if (how == CallEnd.OVER_LIMIT) {
                model.overdue.add(copy);
            }
            boolean last = model.running.get(copy) == 0;
            boolean hung = model.overdue.contains(copy);
            if (hung && last) {
                model.stuck.add(copy);
            }
            d.callEnded(now, run.getKey(), how);
        } else if (!model.stopping.isEmpty()) {
            long copy = model.stopping.iterator().next();
            if (!well && random.nextInt(4) == 0) {
                model.stopping.remove(copy);
                model.stuck.add(copy);
                d.hung(now, copy);
            } else {
                model.gone(copy);
                d.stopped(now, copy);
            }
        }
    }

    private static void loaded(long now, CopyScheduler d, Model model, Random random, boolean well) {
        long copy = model.loading.keySet().iterator().next();
        long kb = 10 + 5L * random.nextInt(5);
        int lanes = 1 + random.nextInt(2);
        long booked = model.memory.get(copy);
        model.memory.put(copy, Math.min(kb, booked)); // nothing is mapped yet; what is spared may be used at once
        if (!d.measured(now, copy, new MemoryEstimate(kb, lanes))) {
            model.loading.remove(copy);
            model.gone(copy);
            d.loadEnded(now, copy, LoadEnd.MISJUDGED);
            return;
        }
        model.memory.put(copy, kb);
        check(d, model);
        model.loading.remove(copy);
        int how = well ? 0 : random.nextInt(5);
        if (how == 1) {
            model.gone(copy);
            d.loadEnded(now, copy, LoadEnd.FAILED);
        } else if (how == 2) {
            model.stuck.add(copy);
            d.loadEnded(now, copy, LoadEnd.FAILED_STUCK);
        } else {
            model.lanes.put(copy, lanes);
            d.loadEnded(now, copy, LoadEnd.READY);
        }
    }
}

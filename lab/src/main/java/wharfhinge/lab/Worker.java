package wharfhinge.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;

/**
 * A worker: copies in a memory of so many places, the one idle longest goes when a load needs room, cores that run calls in the order they
 * came, a bounded queue. It knows nothing of who else holds what.
 */
final class Worker {
    private static final long TIDY_NS = 250 * Timeline.MS;

    /** Told how a call ended; company counts calls of the function that it found. */
    interface Reply {
        void ended(Outcome outcome, CacheStatus note, int company);
    }

    private static final class Copy {
        private final String function;
        private boolean loading = true;
        private int running;
        private long idleSince;

        Copy(String function) {
            this.function = function;
        }
    }

    /** A call under way; gone once cancelled. */
    static final class Visit {
        private final String function;
        private final Reply reply;
        private final int company;
        private CacheStatus note = CacheStatus.HIT;
        private boolean gone;

        Visit(String function, int company, Reply reply) {
            this.function = function;
            this.company = company;
            this.reply = reply;
        }

        /** Nobody waits; work that runs goes on. */
        void leave() {
            gone = true;
        }
    }

    private record Order(String function, int count, ObjIntConsumer<Outcome> ended) {}

    final String id;
    private final Storm storm;
    private final Timeline time;
    private final Store store;
    private final BiConsumer<Worker, String> pushedOut; // told of a copy that was evicted, after it is gone
    private final Runnable loaded;
    private final Map<String, List<Copy>> copies = new LinkedHashMap<>();
    private final Deque<Visit> queue = new ArrayDeque<>();
    private final Deque<Copy> loadLine = new ArrayDeque<>();
    private final List<Order> orders = new ArrayList<>();
    private final Map<Visit, Copy> running = new HashMap<>();
    private int held; // of its room, by loading copies too
    private int loads;
    private int life;
    private long coldUntil;

    Worker(String id, Storm storm, Timeline time, Store store, BiConsumer<Worker, String> pushedOut, Runnable loaded) {
        this.id = id;
        this.storm = storm;
        this.time = time;
        this.store = store;
        this.pushedOut = pushedOut;
        this.loaded = loaded;
        time.after(storm.keepMillis() * Timeline.MS, this::tidy);
    }

    /** What lay idle for the told time goes. */
    private void tidy() {
        for (List<Copy> of : copies.values()) {
            remove(
                    of,
                    c -> !c.loading && c.running == 0 && time.now() - c.idleSince > storm.keepMillis() * Timeline.MS);
        }
        time.after(TIDY_NS, this::tidy);
    }

    /** Comes back empty; what it held is gone without a word. */
    void restart(long warmAt) {
        life++;
        List<Visit> lost = new ArrayList<>(queue);
        lost.addAll(running.keySet());
        List<Order> lostOrders = new ArrayList<>(orders);
        copies.clear();
        queue.clear();
        loadLine.clear();
        orders.clear();
        running.clear();
        held = 0;
        loads = 0;
        coldUntil = warmAt;
        lost.forEach(v -> end(v, Outcome.RESET, CacheStatus.UNKNOWN));
        lostOrders.forEach(o -> o.ended.accept(Outcome.RESET, 0));
    }

    int standing(String function) {
        return (int) copies.getOrDefault(function, List.of()).stream()
                .filter(c -> !c.loading)
                .count();
    }

    int copiesHeld() {
        return copies.values().stream().mapToInt(List::size).sum();
    }

    /** In work or waiting. */
    int inFlight() {
        return running.size() + queue.size();
    }

    private List<Copy> of(String function) {
        return copies.computeIfAbsent(function, f -> new ArrayList<>(1));
    }

    private Copy free(String function) {
        for (Copy c : of(function)) {
            if (!c.loading && c.running < storm.lanes()) {
                return c;
            }
        }
        return null;
    }

    private int company(String function) {
        return (int) queue.stream().filter(v -> v.function.equals(function)).count()
                + of(function).stream().mapToInt(c -> c.running).sum();
    }

    Visit call(String function, Reply reply) {
        Visit visit = new Visit(function, company(function), reply);
        boolean none = of(function).isEmpty();
        if (none && !storm.loadsOnCall()) {
            end(visit, Outcome.NOT_LOADED, CacheStatus.UNKNOWN);
        } else if (queue.size() >= storm.queue()) {
            end(visit, Outcome.SATURATED, CacheStatus.UNKNOWN);
        } else {
            boolean loading = of(function).stream().allMatch(c -> c.loading);
            visit.note = none ? CacheStatus.LOAD_STARTED : loading ? CacheStatus.LOAD_AWAITED : CacheStatus.HIT;
            queue.add(visit);
            if (none && load(function) == null) {
                queue.remove(visit);
                end(visit, Outcome.SATURATED, CacheStatus.UNKNOWN);
            }
            serve();
        }
        return visit;
    }

    private void end(Visit v, Outcome outcome, CacheStatus note) {
        if (!v.gone) {
            v.gone = true;
            v.reply.ended(outcome, note, Math.min(30, v.company));
        }
    }

    private void serve() {
        for (Iterator<Visit> it = queue.iterator(); it.hasNext() && running.size() < storm.cores(); ) {
            Visit v = it.next();
            Copy copy = v.gone ? null : free(v.function);
            if (v.gone) {
                it.remove();
            } else if (copy != null) {
                it.remove();
                run(v, copy);
            }
        }
    }

    private void run(Visit v, Copy copy) {
        int of = life;
        copy.running++;
        running.put(v, copy);
        double slow = time.now() < coldUntil ? 2 : 1;
        time.after((long) (storm.callMillis() * slow * Timeline.MS), () -> {
            if (of != life) {
                return;
            }
            copy.running--;
            copy.idleSince = time.now();
            running.remove(v);
            end(v, Outcome.SERVED, v.note);
            serve();
        });
    }

    void hold(String function, int count, ObjIntConsumer<Outcome> ended) {
        of(function).stream().filter(c -> c.running == 0).forEach(c -> c.idleSince = time.now());
        boolean room = true;
        for (int missing = count - of(function).size(); missing > 0 && room; missing--) {
            room = load(function) != null;
        }
        if (standing(function) >= count) {
            ended.accept(Outcome.SERVED, standing(function));
        } else if (!room) {
            ended.accept(Outcome.SATURATED, standing(function));
        } else {
            orders.add(new Order(function, count, ended));
        }
    }

    void unload(String function) {
        remove(of(function), c -> !c.loading && c.running == 0);
    }

    private void remove(List<Copy> of, Predicate<Copy> which) {
        List<Copy> going = of.stream().filter(which).toList();
        of.removeAll(going);
        held -= going.stream().mapToInt(c -> storm.places(c.function)).sum();
    }

    private Copy load(String function) {
        if (loadLine.size() >= 2 * storm.loadsAtOnce() || !makeRoom(storm.places(function))) {
            return null;
        }
        Copy copy = new Copy(function);
        of(function).add(copy);
        held += storm.places(function);
        loadLine.add(copy);
        nextLoad();
        return copy;
    }

    private boolean makeRoom(int places) {
        if (held + places <= storm.room()) {
            return true;
        }
        List<Copy> idle = copies.values().stream()
                .flatMap(List::stream)
                .filter(c -> !c.loading && c.running == 0)
                .sorted(Comparator.comparingLong(c -> c.idleSince))
                .toList();
        if (held - idle.stream().mapToInt(c -> storm.places(c.function)).sum() + places > storm.room()) {
            return false;
        }
        for (Iterator<Copy> oldest = idle.iterator(); held + places > storm.room(); ) {
            Copy copy = oldest.next();
            of(copy.function).remove(copy);
            held -= storm.places(copy.function);
            pushedOut.accept(this, copy.function);
        }
        return true;
    }

    private void nextLoad() {
        while (loads < storm.loadsAtOnce() && !loadLine.isEmpty()) {
            Copy copy = loadLine.poll();
            int of = life;
            loads++;
            loaded.run();
            store.fetch(storm.loadMillis() * Timeline.MS, () -> {
                if (of == life) {
                    stands(copy);
                }
            });
        }
    }

    private void stands(Copy copy) {
        loads--;
        copy.loading = false;
        copy.idleSince = time.now();
        serve();
        for (Order order : List.copyOf(orders)) {
            if (order.function.equals(copy.function) && standing(copy.function) >= order.count) {
                orders.remove(order);
                order.ended.accept(Outcome.SERVED, standing(copy.function));
            }
        }
        nextLoad();
    }
}

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
 * A simulated worker: a memory for copies, from which the least recently used idle copies are evicted for a load; cores that run calls in
 * the order of arrival; and a bounded queue. It has no information about other workers.
 */
final class Worker {
    private static final long EXPIRY_CHECK_INTERVAL_NANOS = 250 * Timeline.MS;

    /** Receives the result of a call. {@code concurrentCalls} counts the calls of the function that were queued or running when it came. */
    interface Reply {
        void completed(Outcome outcome, CacheStatus cacheStatus, int concurrentCalls);
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

    /** A call on this worker; finished once it is answered or cancelled. */
    static final class PendingCall {
        private final String function;
        private final Reply reply;
        private final int concurrentCalls;
        private CacheStatus cacheStatus = CacheStatus.HIT;
        private boolean finished;

        PendingCall(String function, int concurrentCalls, Reply reply) {
            this.function = function;
            this.concurrentCalls = concurrentCalls;
            this.reply = reply;
        }

        /** Cancels the call: no result is reported. A call that is running continues to occupy its core. */
        void cancel() {
            finished = true;
        }
    }

    private record LoadOrder(String function, int count, ObjIntConsumer<Outcome> onCompleted) {}

    final String id;
    private final Storm storm;
    private final Timeline time;
    private final Store store;
    private final BiConsumer<Worker, String> onEviction; // called after the copy was removed
    private final Runnable onLoadStarted;
    private final Map<String, List<Copy>> copies = new LinkedHashMap<>();
    private final Deque<PendingCall> queue = new ArrayDeque<>();
    private final Deque<Copy> loadQueue = new ArrayDeque<>();
    private final List<LoadOrder> orders = new ArrayList<>();
    private final Map<PendingCall, Copy> running = new HashMap<>();
    private int usedMemory; // memory units used, copies being loaded included
    private int runningLoads;
    private int incarnation;
    private long slowStartUntil;

    Worker(
            String id,
            Storm storm,
            Timeline time,
            Store store,
            BiConsumer<Worker, String> onEviction,
            Runnable onLoadStarted) {
        this.id = id;
        this.storm = storm;
        this.time = time;
        this.store = store;
        this.onEviction = onEviction;
        this.onLoadStarted = onLoadStarted;
        time.after(storm.idleRetentionMillis() * Timeline.MS, this::unloadExpired);
    }

    /** Periodically unloads copies that were idle for the retention time. */
    private void unloadExpired() {
        for (List<Copy> functionCopies : copies.values()) {
            remove(
                    functionCopies,
                    copy -> !copy.loading
                            && copy.running == 0
                            && time.now() - copy.idleSince > storm.idleRetentionMillis() * Timeline.MS);
        }
        time.after(EXPIRY_CHECK_INTERVAL_NANOS, this::unloadExpired);
    }

    /** Restarts without copies; open calls and load orders end as reset. */
    void restart(long slowStartEnd) {
        incarnation++;
        List<PendingCall> lostCalls = new ArrayList<>(queue);
        lostCalls.addAll(running.keySet());
        List<LoadOrder> lostOrders = new ArrayList<>(orders);
        copies.clear();
        queue.clear();
        loadQueue.clear();
        orders.clear();
        running.clear();
        usedMemory = 0;
        runningLoads = 0;
        slowStartUntil = slowStartEnd;
        lostCalls.forEach(call -> complete(call, Outcome.RESET, CacheStatus.UNKNOWN));
        lostOrders.forEach(o -> o.onCompleted.accept(Outcome.RESET, 0));
    }

    int loadedCopies(String function) {
        return (int) copies.getOrDefault(function, List.of()).stream()
                .filter(copy -> !copy.loading)
                .count();
    }

    int copyCount() {
        return copies.values().stream().mapToInt(List::size).sum();
    }

    /** Calls that are running or queued. */
    int inFlight() {
        return running.size() + queue.size();
    }

    private List<Copy> copiesOf(String function) {
        return copies.computeIfAbsent(function, f -> new ArrayList<>(1));
    }

    private Copy freeCopy(String function) {
        for (Copy copy : copiesOf(function)) {
            if (!copy.loading && copy.running < storm.lanes()) {
                return copy;
            }
        }
        return null;
    }

    private int concurrentCalls(String function) {
        return (int) queue.stream()
                        .filter(call -> call.function.equals(function))
                        .count()
                + copiesOf(function).stream().mapToInt(copy -> copy.running).sum();
    }

    PendingCall call(String function, Reply reply) {
        PendingCall pending = new PendingCall(function, concurrentCalls(function), reply);
        boolean noCopy = copiesOf(function).isEmpty();
        if (noCopy && !storm.loadsOnCall()) {
            complete(pending, Outcome.NOT_LOADED, CacheStatus.UNKNOWN);
        } else if (queue.size() >= storm.queue()) {
            complete(pending, Outcome.SATURATED, CacheStatus.UNKNOWN);
        } else {
            boolean loading = copiesOf(function).stream().allMatch(copy -> copy.loading);
            pending.cacheStatus =
                    noCopy ? CacheStatus.LOAD_STARTED : loading ? CacheStatus.LOAD_AWAITED : CacheStatus.HIT;
            queue.add(pending);
            if (noCopy && load(function) == null) {
                queue.remove(pending);
                complete(pending, Outcome.SATURATED, CacheStatus.UNKNOWN);
            }
            startQueuedCalls();
        }
        return pending;
    }

    private void complete(PendingCall call, Outcome outcome, CacheStatus cacheStatus) {
        if (!call.finished) {
            call.finished = true;
            call.reply.completed(outcome, cacheStatus, Math.min(30, call.concurrentCalls));
        }
    }

    private void startQueuedCalls() {
        for (Iterator<PendingCall> it = queue.iterator(); it.hasNext() && running.size() < storm.cores(); ) {
            PendingCall call = it.next();
            Copy copy = call.finished ? null : freeCopy(call.function);
            if (call.finished) {
                it.remove();
            } else if (copy != null) {
                it.remove();
                startCall(call, copy);
            }
        }
    }

    private void startCall(PendingCall call, Copy copy) {
        int startedIn = incarnation;
        copy.running++;
        running.put(call, copy);
        double slowdown = time.now() < slowStartUntil ? 2 : 1;
        time.after((long) (storm.callMillis() * slowdown * Timeline.MS), () -> {
            if (startedIn != incarnation) {
                return;
            }
            copy.running--;
            copy.idleSince = time.now();
            running.remove(call);
            complete(call, Outcome.SERVED, call.cacheStatus);
            startQueuedCalls();
        });
    }

    void ensureLoaded(String function, int count, ObjIntConsumer<Outcome> onCompleted) {
        copiesOf(function).stream().filter(copy -> copy.running == 0).forEach(copy -> copy.idleSince = time.now());
        boolean hasMemory = true;
        for (int missing = count - copiesOf(function).size(); missing > 0 && hasMemory; missing--) {
            hasMemory = load(function) != null;
        }
        if (loadedCopies(function) >= count) {
            onCompleted.accept(Outcome.SERVED, loadedCopies(function));
        } else if (!hasMemory) {
            onCompleted.accept(Outcome.SATURATED, loadedCopies(function));
        } else {
            orders.add(new LoadOrder(function, count, onCompleted));
        }
    }

    void unload(String function) {
        remove(copiesOf(function), copy -> !copy.loading && copy.running == 0);
    }

    private void remove(List<Copy> functionCopies, Predicate<Copy> condition) {
        List<Copy> removed = functionCopies.stream().filter(condition).toList();
        functionCopies.removeAll(removed);
        usedMemory -= removed.stream()
                .mapToInt(copy -> storm.memoryUnits(copy.function))
                .sum();
    }

    private Copy load(String function) {
        if (loadQueue.size() >= 2 * storm.loadConcurrency() || !makeRoom(storm.memoryUnits(function))) {
            return null;
        }
        Copy copy = new Copy(function);
        copiesOf(function).add(copy);
        usedMemory += storm.memoryUnits(function);
        loadQueue.add(copy);
        startQueuedLoads();
        return copy;
    }

    private boolean makeRoom(int memoryUnits) {
        if (usedMemory + memoryUnits <= storm.room()) {
            return true;
        }
        List<Copy> idle = copies.values().stream()
                .flatMap(List::stream)
                .filter(copy -> !copy.loading && copy.running == 0)
                .sorted(Comparator.comparingLong(copy -> copy.idleSince))
                .toList();
        if (usedMemory
                        - idle.stream()
                                .mapToInt(copy -> storm.memoryUnits(copy.function))
                                .sum()
                        + memoryUnits
                > storm.room()) {
            return false;
        }
        for (Iterator<Copy> oldest = idle.iterator(); usedMemory + memoryUnits > storm.room(); ) {
            Copy copy = oldest.next();
            copiesOf(copy.function).remove(copy);
            usedMemory -= storm.memoryUnits(copy.function);
            onEviction.accept(this, copy.function);
        }
        return true;
    }

    private void startQueuedLoads() {
        while (runningLoads < storm.loadConcurrency() && !loadQueue.isEmpty()) {
            Copy copy = loadQueue.poll();
            int startedIn = incarnation;
            runningLoads++;
            onLoadStarted.run();
            store.fetch(storm.loadMillis() * Timeline.MS, () -> {
                if (startedIn == incarnation) {
                    completeLoad(copy);
                }
            });
        }
    }

    private void completeLoad(Copy copy) {
        runningLoads--;
        copy.loading = false;
        copy.idleSince = time.now();
        startQueuedCalls();
        for (LoadOrder order : List.copyOf(orders)) {
            if (order.function.equals(copy.function) && loadedCopies(copy.function) >= order.count) {
                orders.remove(order);
                order.onCompleted.accept(Outcome.SERVED, loadedCopies(copy.function));
            }
        }
        startQueuedLoads();
    }
}

package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** State of one function on the worker: its copies, the calls that wait for one of them, and the orders that wait for several. */
final class FunctionState {
    private final String name;
    private final List<Copy> copies = new ArrayList<>();
    private final Map<Long, ScheduledCall> waitingCalls = new LinkedHashMap<>();
    private final List<LoadOrder> orders = new ArrayList<>();
    private int runningCalls;

    FunctionState(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** Copies in the order of their admission; modified only by {@link CopyPool}. */
    List<Copy> copies() {
        return copies;
    }

    /** Waiting calls by id, in the order of their arrival; modified only by {@link CallTable}. */
    Map<Long, ScheduledCall> waitingCalls() {
        return waitingCalls;
    }

    /** Waiting orders in the order of their arrival; modified only by {@link LoadOrders}. */
    List<LoadOrder> orders() {
        return orders;
    }

    void onCallStarted() {
        runningCalls++;
    }

    void onCallEnded() {
        runningCalls--;
    }

    int callsInFlight() {
        return runningCalls + waitingCalls.size();
    }

    boolean isUnused() {
        return copies.isEmpty() && waitingCalls.isEmpty() && orders.isEmpty();
    }

    /** Whether any call or order waits for a copy. */
    boolean isAwaited() {
        return !waitingCalls.isEmpty() || !orders.isEmpty();
    }

    void restartIdleTimes(long nowNanos) {
        copies.stream().filter(Copy::isIdle).forEach(copy -> copy.restartIdleTime(nowNanos));
    }

    int readyCopies() {
        return (int) copies.stream().filter(Copy::isReady).count();
    }

    int liveCopies() {
        return (int) copies.stream().filter(Copy::isLive).count();
    }

    boolean hasLiveCopy() {
        return copies.stream().anyMatch(Copy::isLive);
    }

    /** Whether a load of the function waits or is in progress. */
    boolean hasPendingLoad() {
        return copies.stream().anyMatch(Copy::isLoadPending);
    }

    /** The oldest copy with a free lane. Preferring the oldest lets the others become idle, so that they can be evicted. */
    Optional<Copy> copyWithFreeLane() {
        return copies.stream().filter(Copy::hasFreeLane).findFirst();
    }
}

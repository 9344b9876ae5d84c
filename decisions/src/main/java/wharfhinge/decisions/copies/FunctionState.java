package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the worker holds of one function: its copies, the calls that wait for one, the orders that wait for several. */
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

    /** Its copies in the order of their admission; open to {@link CopyPool} to change. */
    List<Copy> copies() {
        return copies;
    }

    /** Calls that wait, first come first; open to {@link CallTable} to change. */
    Map<Long, ScheduledCall> waitingCalls() {
        return waitingCalls;
    }

    /** Orders that wait, first come first; open to {@link LoadOrders} to change. */
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

    /** Whether a load waits or is under way. */
    boolean hasCopyComing() {
        return copies.stream().anyMatch(Copy::isComing);
    }

    /** A copy that can run a call now: the eldest, so that the others can go idle and be evicted. */
    Optional<Copy> copyWithFreeLane() {
        return copies.stream().filter(Copy::hasFreeLane).findFirst();
    }
}

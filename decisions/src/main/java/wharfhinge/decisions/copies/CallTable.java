package wharfhinge.decisions.copies;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import wharfhinge.decisions.copies.CopyScheduler.Answer;
import wharfhinge.decisions.copies.CopyScheduler.CallEnd;

/** All calls in flight on the worker: those that wait for a copy and those that run on one. */
final class CallTable {
    private final CopyPool pool;
    private final CopyScheduler.Actions actions;
    private final Map<Long, ScheduledCall> calls = new LinkedHashMap<>();
    private int waiting;
    private int running;

    CallTable(CopyPool pool, CopyScheduler.Actions actions) {
        this.pool = pool;
        this.actions = actions;
    }

    int waiting() {
        return waiting;
    }

    int inFlight() {
        return running + waiting;
    }

    Optional<ScheduledCall> find(long callId) {
        return Optional.ofNullable(calls.get(callId));
    }

    void enqueue(ScheduledCall call) {
        call.function().waitingCalls().put(call.id(), call);
        calls.put(call.id(), call);
        waiting++;
    }

    void dequeue(ScheduledCall call) {
        call.function().waitingCalls().remove(call.id());
        calls.remove(call.id());
        waiting--;
    }

    void start(ScheduledCall call, Copy copy) {
        call.assignTo(copy);
        calls.put(call.id(), call);
        copy.onCallStarted();
        copy.function().onCallStarted();
        running++;
        pool.markWorking(copy);
        actions.startCall(call.id(), copy.id());
    }

    /** Removes a running call. The caller must pass its copy to {@link CopyPool#onLaneFreed}. */
    void finish(ScheduledCall call, Copy copy, CallEnd end) {
        calls.remove(call.id());
        copy.onCallEnded(end);
        copy.function().onCallEnded();
        running--;
    }

    /** Starts waiting calls of a function while copies have free lanes. Calls whose callers have stopped waiting are rejected. */
    void startWaiting(long nowNanos, FunctionState function) {
        Optional<Copy> free = function.copyWithFreeLane();
        while (free.isPresent() && !function.waitingCalls().isEmpty()) {
            ScheduledCall call = function.waitingCalls().values().iterator().next();
            dequeue(call);
            if (call.isExpired(nowNanos)) {
                reject(call, Answer.FULL);
            } else {
                start(call, free.get());
            }
            free = function.copyWithFreeLane();
        }
    }

    /** Answers a call that ran. */
    void answer(ScheduledCall call, CallEnd end) {
        if (end == CallEnd.SERVED) {
            actions.completeCall(call.id(), Answer.SERVED, call.copyUse(), call.concurrentOnArrival());
        } else {
            actions.completeCall(call.id(), Answer.ERROR, null, call.concurrentOnArrival());
        }
    }

    void reject(ScheduledCall call, Answer answer) {
        actions.completeCall(call.id(), answer, null, call.concurrentOnArrival());
    }

    void rejectWaiting(FunctionState function, Answer answer) {
        for (ScheduledCall call : List.copyOf(function.waitingCalls().values())) {
            dequeue(call);
            reject(call, answer);
        }
    }

    /** Rejects waiting calls whose callers have stopped waiting, and passes the function of each to {@code onRejected}. */
    void rejectExpired(long nowNanos, Consumer<FunctionState> onRejected) {
        for (ScheduledCall call : List.copyOf(calls.values())) {
            if (call.isWaiting() && call.isExpired(nowNanos)) {
                dequeue(call);
                reject(call, Answer.FULL);
                onRejected.accept(call.function());
            }
        }
    }
}

package wharfhinge.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/**
 * A simulated gateway: passes events to one dispatcher and carries out its actions, as the event loop of the real gateway does, over a
 * network with a fixed delay.
 */
final class Gateway implements DispatcherActions {
    private static final long ONE_WAY_DELAY_NANOS = 300_000;

    /** Creates the dispatcher of one incarnation. */
    interface DispatcherConstructor {
        Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);
    }

    /** The final answer to a call. */
    record Answer(Kind kind, long retryAfterNanos, boolean loaded, long attemptNanos) {
        enum Kind {
            SERVED,
            REJECTED,
            FAILED,
            CLIENT_CANCELLED
        }
    }

    private static final class Attempt {
        private final long sentAt;
        private Worker.PendingCall workerCall;
        private boolean completed;

        Attempt(long sentAt) {
            this.sentAt = sentAt;
        }
    }

    private static final class Call {
        private final Request request;
        private final long deadline;
        private final Consumer<Answer> onAnswer;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean answered;
        private boolean seenNotLoaded;

        Call(Request request, long deadline, Consumer<Answer> onAnswer) {
            this.request = request;
            this.deadline = deadline;
            this.onAnswer = onAnswer;
        }
    }

    private final Timeline time;
    private final Map<String, Worker> workers;
    private final Storm storm;
    private final List<String> violations;
    private final Map<String, Call> calls = new HashMap<>();
    private final Dispatcher dispatcher;
    private final Chains chains;
    private final ArrayDeque<Long> loadOrderTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> callTimes = new ArrayDeque<>();
    private long nextId;
    private boolean stopped;

    Gateway(
            Timeline time,
            Storm storm,
            long seed,
            int index,
            Map<String, Worker> workers,
            DispatcherConstructor dispatcherConstructor,
            List<String> violations) {
        this.time = time;
        this.storm = storm;
        this.workers = workers;
        this.violations = violations;
        this.dispatcher = dispatcherConstructor.create(time.now(), seed, LabSettings.of(storm, index), this);
        this.chains = new Chains(time, this);
    }

    void updateEndpoints(List<Endpoint> all) {
        dispatcher.onEndpointUpdate(time.now(), EndpointUpdateMode.FULL, time.now(), all);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Ends the process: open calls fail, since their clients see the connection break; the dispatcher receives no further events. */
    void kill() {
        stopped = true;
        calls.values().stream()
                .filter(call -> !call.answered)
                .forEach(call -> call.onAnswer.accept(new Answer(Answer.Kind.FAILED, 0, false, 0)));
        calls.clear();
        chains.kill();
    }

    /** Runs functions one after the other as a chain under one deadline. */
    void startChain(List<String> functions, long timeoutNanos, Consumer<Answer> onAnswer) {
        chains.start(functions, timeoutNanos, storm.loadMillis(), onAnswer);
    }

    boolean isBelievedCached(String function) {
        return dispatcher.isCached(time.now(), function);
    }

    void announceRequest(String function, long timeoutNanos) {
        dispatcher.onRequestExpected(time.now(), request("e" + nextId++, function, timeoutNanos));
    }

    /** Cancels a call for its client, with all its attempts. */
    void cancelCall(String id) {
        Call call = calls.get(id);
        if (call != null && !call.answered) {
            call.answered = true;
            dispatcher.onClientCancelled(time.now(), id);
            for (int i = 0; i < call.attempts.size(); i++) {
                cancelAttempt(id, i);
            }
        }
    }

    private Request request(String id, String function, long timeoutNanos) {
        return new Request(
                id,
                null,
                timeoutNanos,
                LabSettings.COPY_MB * storm.memoryUnits(function),
                function,
                storm.callMillis() * Timeline.MS,
                storm.lanes(),
                storm.loadMillis(),
                LabSettings.REQUEST_CLASS,
                false,
                false);
    }

    /** Starts a call and returns its id. */
    String call(String function, long timeoutNanos, Consumer<Answer> onAnswer) {
        String id = Long.toString(nextId++);
        callTimes.add(time.now());
        Request request = request(id, function, timeoutNanos);
        Call call = new Call(request, time.now() + timeoutNanos, onAnswer);
        calls.put(id, call);
        time.after(timeoutNanos + LabSettings.TICK_NANOS, () -> {
            if (!call.answered && !stopped) {
                violations.add("rule 1: no answer by the deadline of " + function);
            }
        });
        dispatcher.onRequest(time.now(), request);
        return id;
    }

    private void answer(Call call, Answer.Kind kind, long retryAfterNanos, boolean loaded, long tookNanos) {
        if (call.answered) {
            violations.add("rule 1: two answers");
            return;
        }
        call.answered = true;
        call.onAnswer.accept(new Answer(kind, retryAfterNanos, loaded || call.seenNotLoaded, tookNanos));
    }

    private void completeAttempt(Call call, int index, Outcome outcome, CacheStatus cacheStatus, int concurrentCalls) {
        Attempt attempt = call.attempts.get(index);
        if (attempt.completed || stopped) {
            return;
        }
        attempt.completed = true;
        if (attempt.workerCall != null) {
            attempt.workerCall.cancel();
        }
        call.seenNotLoaded |= outcome == Outcome.NOT_LOADED;
        long took = time.now() - attempt.sentAt;
        if (outcome == Outcome.SERVED && !call.answered) {
            answer(
                    call,
                    Answer.Kind.SERVED,
                    0,
                    cacheStatus == CacheStatus.LOAD_STARTED || cacheStatus == CacheStatus.LOAD_AWAITED,
                    took);
        }
        dispatcher.onAttemptCompleted(
                time.now(),
                new AttemptCompletion(
                        call.request.id(),
                        outcome,
                        index,
                        took,
                        workerByAttempt.get(attempt).id,
                        cacheStatus,
                        concurrentCalls,
                        call.answered,
                        report(workerByAttempt.remove(attempt))));
        if (call.answered && call.attempts.stream().allMatch(x -> x.completed)) {
            calls.remove(call.request.id());
        }
    }

    private final Map<Attempt, Worker> workerByAttempt = new HashMap<>();

    private Map<String, Double> report(Worker worker) {
        return Map.of("rif", (double) worker.inFlight());
    }

    // ---- Actions of the dispatcher ----------------------------------------------------------

    private void runUnlessStopped(Runnable action) {
        time.after(0, () -> {
            if (!stopped) {
                action.run();
            }
        });
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        Call call = calls.get(request);
        if (call == null) {
            return;
        }
        Attempt attempt = new Attempt(time.now());
        int index = call.attempts.size();
        call.attempts.add(attempt);
        Worker target = workers.get(worker);
        workerByAttempt.put(attempt, target);
        long remaining = call.deadline - time.now();
        if (call.answered || remaining <= 0) {
            runUnlessStopped(() -> completeAttempt(call, index, Outcome.SUPERSEDED, CacheStatus.UNKNOWN, 0));
            return;
        }
        time.after(ONE_WAY_DELAY_NANOS, () -> {
            if (!attempt.completed) {
                Worker.PendingCall[] started = new Worker.PendingCall[1];
                started[0] = target.call(
                        call.request.function(),
                        (outcome, cacheStatus, concurrentCalls) -> time.after(
                                ONE_WAY_DELAY_NANOS,
                                () -> completeAttempt(call, index, outcome, cacheStatus, concurrentCalls)));
                attempt.workerCall = started[0];
            }
        });
        time.after(
                timeoutNanos == 0 ? remaining : Math.min(timeoutNanos, remaining),
                () -> completeAttempt(call, index, Outcome.TIMEOUT, CacheStatus.UNKNOWN, 0));
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        Call call = calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            runUnlessStopped(() -> completeAttempt(call, attempt, Outcome.CANCELLED, CacheStatus.UNKNOWN, 0));
        }
    }

    @Override
    public void reject(String request, long retryAfterNanos) {
        Call call = calls.get(request);
        if (call != null && !call.answered) {
            answer(call, Answer.Kind.REJECTED, retryAfterNanos, false, 0);
        }
    }

    @Override
    public void fail(String request) {
        Call call = calls.get(request);
        if (call != null && !call.answered) {
            answer(call, Answer.Kind.FAILED, 0, false, 0);
        }
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        long startedAt = time.now();
        loadOrderTimes.add(startedAt);
        checkLoadQuota();
        time.after(ONE_WAY_DELAY_NANOS, () -> workers.get(worker)
                .ensureLoaded(
                        function,
                        count,
                        (outcome, loadedCopies) -> time.after(ONE_WAY_DELAY_NANOS, () -> {
                            if (!stopped) {
                                dispatcher.onLoadCompleted(
                                        time.now(), worker, function, loadedCopies, outcome, time.now() - startedAt);
                            }
                        })));
    }

    /** Checks the load quota as seen by the package store (rule 5 of the simulation). */
    private void checkLoadQuota() {
        long windowStart = time.now() - Storm.RATION_S * 1000L * Timeline.MS;
        loadOrderTimes.removeIf(at -> at <= windowStart);
        callTimes.removeIf(at -> at <= windowStart);
        if (storm.ration() > 0 && loadOrderTimes.size() > storm.ration() + Storm.RATION_RATIO * callTimes.size()) {
            violations.add("rule 5: " + loadOrderTimes.size() + " orders for " + callTimes.size() + " calls");
        }
    }

    @Override
    public void unload(String worker, String function) {
        time.after(ONE_WAY_DELAY_NANOS, () -> workers.get(worker).unload(function));
    }

    @Override
    public void probe(String worker) {
        time.after(2 * ONE_WAY_DELAY_NANOS, () -> {
            if (!stopped) {
                dispatcher.onProbeCompleted(
                        time.now(), worker, Outcome.SERVED, 2 * ONE_WAY_DELAY_NANOS, report(workers.get(worker)));
            }
        });
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        time.after(delayNanos, () -> {
            if (!stopped) {
                dispatcher.onTimer(time.now(), token);
            }
        });
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {}

    @Override
    public void watchEndpoints(boolean on) {}

    @Override
    public void refreshEndpoints() {}

    @Override
    public void closeIdleConnections(String worker) {}

    @Override
    public void logDiagnostic(String text) {}
}

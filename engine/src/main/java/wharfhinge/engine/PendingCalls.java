package wharfhinge.engine;

import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.engine.EngineMetrics.Counter;
import wharfhinge.engine.PendingCall.PendingAttempt;
import wharfhinge.engine.WorkerTransport.ExchangeResult;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.FinalAnswer;

/**
 * The calls that are open or whose attempts are, from when the loop came round to them to their last end: one final
 * answer for each, and what the dispatcher is told of its attempts. Loop's thread alone.
 */
final class PendingCalls {
    private final EventLoop thread;
    private final SubmissionQueue handOver;
    private final EngineMetrics stats;
    private final AccessLog log;
    private final Supplier<Dispatcher> dispatcher;
    private final Runnable whenFewer;
    private final Map<String, Long> aims = new HashMap<>(); // by class, nanoseconds
    private final Map<String, PendingCall> calls = new HashMap<>();
    private final Map<ClientCall, PendingCall> byClient = new IdentityHashMap<>();
    private long callNumber;
    private boolean ending;

    /**
     * None yet.
     *
     * @param dispatcher the one of now
     * @param whenFewer  run after a call was answered or its last attempt ended
     */
    PendingCalls(
            EngineSettings settings,
            EventLoop thread,
            SubmissionQueue handOver,
            EngineMetrics stats,
            AccessLog log,
            Supplier<Dispatcher> dispatcher,
            Runnable whenFewer) {
        this.thread = thread;
        this.handOver = handOver;
        this.stats = stats;
        this.log = log;
        this.dispatcher = dispatcher;
        this.whenFewer = whenFewer;
        settings.dispatcher().classes().forEach(c -> aims.put(c.name(), c.latencyObjectiveNanos()));
    }

    /** Keeps a call that the loop came round to; its deadline counts from when its last byte came. */
    PendingCall add(ClientCall call, boolean throughDoor) {
        long deadline = thread.clock().at(call.receivedAt()) + call.deadlineNanos();
        String id = Long.toString(callNumber++, Character.MAX_RADIX);
        PendingCall c = new PendingCall(id, call, thread.now(), deadline);
        c.throughDoor = throughDoor;
        calls.put(c.id, c);
        byClient.put(call, c);
        return c;
    }

    /** The call of that id, or null. */
    PendingCall get(String id) {
        return calls.get(id);
    }

    /** Whether nothing is open and no answer is on its way to a client, and none is being ended right now. */
    boolean idle() {
        return !ending && handOver.open() == 0 && calls.values().stream().noneMatch(PendingCall::streams);
    }

    // ---- Ends of attempts -------------------------------------------------------------------

    /** An attempt ended on the wire. */
    void attemptEnded(PendingAttempt a, ExchangeResult result) {
        if (a.ended) {
            stats.add(Counter.LATE_ANSWERS);
            ReferenceCountUtil.release(result.body());
            return;
        }
        a.ended = true;
        a.how = result.reason();
        a.tookNanos = result.tookNanos();
        PendingCall c = a.call;
        c.live--;
        if (a.stream != null) {
            ReferenceCountUtil.release(result.body());
            completed(a, result);
            return;
        }
        if (result.outcome() == Outcome.SERVED && !c.answered) {
            c.call.responseSink()
                    .sendResponse(result.body(), result.contentType(), c.facts(a.worker, "", loaded(result)));
            answered(c, Counter.SERVED, "served", null);
        } else {
            if (c.answered && result.outcome() == Outcome.SERVED) {
                stats.add(Counter.LATE_ANSWERS);
            }
            ReferenceCountUtil.release(result.body());
        }
        completed(a, result);
    }

    private static boolean loaded(ExchangeResult result) {
        return result.cacheStatus() == CacheStatus.LOAD_STARTED || result.cacheStatus() == CacheStatus.LOAD_AWAITED;
    }

    private void completed(PendingAttempt a, ExchangeResult result) {
        AttemptCompletion completion = new AttemptCompletion(
                a.call.id,
                result.outcome(),
                a.index,
                result.tookNanos(),
                a.worker,
                result.cacheStatus(),
                result.concurrentOnWorker(),
                a.call.answered,
                result.report());
        dispatcher.get().onAttemptCompleted(thread.now(), completion);
        forget(a.call);
    }

    /** Ends an attempt from this side: the wire is told to stop, the decisions how it ended. */
    void end(PendingAttempt a, Outcome outcome) {
        if (!a.ended) {
            a.sent.cancel();
            a.ended = true;
            a.how = reason(outcome);
            a.tookNanos = thread.now() - a.sentAt;
            a.call.live--;
            completed(
                    a,
                    new ExchangeResult(outcome, CacheStatus.UNKNOWN, 0, Map.of(), 0, a.tookNanos, null, null, a.how));
        }
    }

    /** The word of the workers' protocol page, as clients are told it and logs hold it. */
    private static String reason(Outcome outcome) {
        return outcome == Outcome.SUPERSEDED ? "moot" : outcome.name().toLowerCase(Locale.ROOT);
    }

    /** A streamed answer began. */
    void streamBegan(PendingAttempt a, WorkerTransport.ResponseStream stream) {
        PendingCall c = a.call;
        if (a.ended || c.answered) {
            stream.cancel();
            end(a, Outcome.CANCELLED);
            return;
        }
        a.stream = stream;
        a.how = "streams";
        stats.add(Counter.STREAMS);
        c.call.responseSink().startStream(stream, c.facts(a.worker, "", false));
        answered(c, Counter.SERVED, "served", null);
        dispatcher.get().onStreamStarted(thread.now(), c.id, a.index, a.worker);
    }

    // ---- Ends of calls ----------------------------------------------------------------------

    /** The client of a call went away; attempts are told to stop where that is allowed, else only what was not sent is. */
    void left(ClientCall call, boolean cancelAll) {
        PendingCall c = byClient.get(call);
        if (c == null) {
            return;
        }
        if (c.answered) { // but its answer may still flow, which a worker would go on with for nobody
            c.attempts.stream().filter(a -> !a.ended && a.stream != null).forEach(a -> a.stream.cancel());
            return;
        }
        answered(c, Counter.CLIENT_CANCELLED, "left", null);
        dispatcher.get().onClientCancelled(thread.now(), c.id);
        for (PendingAttempt a : List.copyOf(c.attempts)) {
            if (!a.ended && (cancelAll || a.stream != null)) {
                end(a, Outcome.CANCELLED);
            } else if (!a.ended) {
                a.sent.cancelIfUnsent(); // what still waits for a connection is for nobody now
            }
        }
        forget(c);
    }

    /** The dispatcher ends a call without a worker's answer. */
    void finalAnswer(String id, FinalAnswer answer, long coolDownNanos, Counter as) {
        PendingCall c = calls.get(id);
        if (c != null && !c.answered) {
            c.call.responseSink().sendError(answer, coolDownNanos, c.facts(null, "not-sent", false));
            answered(c, as, answer.word(), "not-sent");
            forget(c);
        }
    }

    /** Gives every open call its final answer and resets what is out; begun streams belong to their clients. */
    int endAll(String why, boolean streamsToo) {
        List<PendingCall> all = new ArrayList<>(calls.values());
        int ended = 0;
        ending = true;
        for (PendingCall c : all) {
            for (PendingAttempt a : c.attempts) {
                if (!a.ended && (a.stream == null || streamsToo)) {
                    a.ended = true;
                    a.sent.cancel();
                }
            }
            if (!c.answered) {
                ended++;
                FinalAnswer answer = c.attempts.isEmpty() ? FinalAnswer.REFUSED : FinalAnswer.FAILED;
                c.call.responseSink().sendError(answer, 0, c.facts(null, why, false));
                Counter as = answer == FinalAnswer.REFUSED ? Counter.REJECTED : Counter.FAILED;
                answered(c, as, answer.word(), why);
            }
        }
        calls.clear();
        byClient.clear();
        ending = false;
        return ended;
    }

    private void answered(PendingCall c, Counter as, String answer, String why) {
        c.answered = true;
        stats.add(as);
        handOver.ended();
        if (c.throughDoor) {
            long tookNanos = thread.now() - c.takenAt;
            handOver.leftDoor(c.call.head().tenant(), doorEnding(as), tookNanos, aims.get(c.call.requestClass()));
        }
        ReferenceCountUtil.release(c.call.body());
        if (log.isAccessLogEnabled()) {
            List<String> trail = c.trail();
            log.onAnswered(new AccessLog.Entry(
                    c.outerId(),
                    c.call.head().function(),
                    c.call.requestClass(),
                    c.call.head().tenant(),
                    answer,
                    thread.now() - thread.clock().at(c.call.receivedAt()),
                    why == null || !trail.isEmpty() ? trail : List.of(why)));
        }
        whenFewer.run();
    }

    private static AdmissionController.CallEnd doorEnding(Counter as) {
        return switch (as) {
            case SERVED -> AdmissionController.CallEnd.ANSWERED;
            case REJECTED -> AdmissionController.CallEnd.REFUSED;
            default -> AdmissionController.CallEnd.OTHERWISE;
        };
    }

    private void forget(PendingCall c) {
        if (c.answered && c.live == 0) {
            calls.remove(c.id, c);
            byClient.remove(c.call, c);
            whenFewer.run();
        }
    }
}

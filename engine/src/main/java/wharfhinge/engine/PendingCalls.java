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
 * The table of pending calls. Sends each call its one final answer and reports the results of its attempts to the dispatcher. A
 * call is removed once it is answered and its last attempt has ended. Confined to the engine's thread.
 */
final class PendingCalls {
    private final EventLoop eventLoop;
    private final SubmissionQueue submissionQueue;
    private final EngineMetrics metrics;
    private final AccessLog log;
    private final Supplier<Dispatcher> dispatcher;
    private final Runnable onCallEnded;
    private final Map<String, Long> latencyObjectives = new HashMap<>(); // nanoseconds by request class
    private final Map<String, PendingCall> callsById = new HashMap<>();
    private final Map<ClientCall, PendingCall> callsByClientCall = new IdentityHashMap<>();
    private long nextCallNumber;
    private boolean endingAll; // in endAll: the engine must not stop before every call has its answer

    /**
     * Creates an empty table.
     *
     * @param dispatcher  supplies the current incarnation of the dispatcher
     * @param onCallEnded run after a call was answered or its last attempt ended
     */
    PendingCalls(
            EngineSettings settings,
            EventLoop eventLoop,
            SubmissionQueue submissionQueue,
            EngineMetrics metrics,
            AccessLog log,
            Supplier<Dispatcher> dispatcher,
            Runnable onCallEnded) {
        this.eventLoop = eventLoop;
        this.submissionQueue = submissionQueue;
        this.metrics = metrics;
        this.log = log;
        this.dispatcher = dispatcher;
        this.onCallEnded = onCallEnded;
        settings.dispatcher()
                .classes()
                .forEach(requestClass ->
                        latencyObjectives.put(requestClass.name(), requestClass.latencyObjectiveNanos()));
    }

    /** Adds a call; its deadline is measured from the time its last byte was received. */
    PendingCall add(ClientCall clientCall, boolean admitted) {
        long deadline = eventLoop.clock().fromNanoTime(clientCall.receivedAt()) + clientCall.deadlineNanos();
        String id = Long.toString(nextCallNumber++, Character.MAX_RADIX);
        PendingCall call = new PendingCall(id, clientCall, eventLoop.now(), deadline);
        call.admitted = admitted;
        callsById.put(call.id, call);
        callsByClientCall.put(clientCall, call);
        return call;
    }

    /** The call with that id, or null if it is no longer pending. */
    PendingCall get(String id) {
        return callsById.get(id);
    }

    /** The number of calls that are not answered or have attempts that have not ended. */
    int size() {
        return callsById.size();
    }

    /** Whether no call is pending, no answer is being streamed and {@link #endAll} is not running. */
    boolean isIdle() {
        return !endingAll
                && submissionQueue.pending() == 0
                && callsById.values().stream().noneMatch(PendingCall::isStreaming);
    }

    // ---- Attempts ---------------------------------------------------------------------------

    /** Handles the result of an attempt, as reported by the transport. */
    void onAttemptCompleted(PendingAttempt attempt, ExchangeResult result) {
        if (attempt.completed) {
            metrics.increment(Counter.LATE_ANSWERS);
            ReferenceCountUtil.release(result.body());
            return;
        }
        attempt.completed = true;
        attempt.reason = result.reason();
        attempt.tookNanos = result.tookNanos();
        PendingCall call = attempt.pendingCall;
        call.attemptsInFlight--;
        if (attempt.stream != null) {
            ReferenceCountUtil.release(result.body());
            notifyDispatcher(attempt, result);
            return;
        }
        if (result.outcome() == Outcome.SERVED && !call.answered) {
            call.clientCall
                    .responseSink()
                    .sendResponse(
                            result.body(), result.contentType(), call.metadata(attempt.worker, "", hasLoaded(result)));
            onAnswered(call, Counter.SERVED, "served", null);
        } else {
            if (call.answered && result.outcome() == Outcome.SERVED) {
                metrics.increment(Counter.LATE_ANSWERS);
            }
            ReferenceCountUtil.release(result.body());
        }
        notifyDispatcher(attempt, result);
    }

    private static boolean hasLoaded(ExchangeResult result) {
        return result.cacheStatus() == CacheStatus.LOAD_STARTED || result.cacheStatus() == CacheStatus.LOAD_AWAITED;
    }

    private void notifyDispatcher(PendingAttempt attempt, ExchangeResult result) {
        AttemptCompletion completion = new AttemptCompletion(
                attempt.pendingCall.id,
                result.outcome(),
                attempt.index,
                result.tookNanos(),
                attempt.worker,
                result.cacheStatus(),
                result.concurrentOnWorker(),
                attempt.pendingCall.answered,
                result.report());
        dispatcher.get().onAttemptCompleted(eventLoop.now(), completion);
        removeIfDone(attempt.pendingCall);
    }

    /** Ends an attempt that has no result yet: cancels it at the transport and reports {@code outcome} to the dispatcher. */
    void endAttempt(PendingAttempt attempt, Outcome outcome) {
        if (!attempt.completed) {
            attempt.handle.cancel();
            attempt.completed = true;
            attempt.reason = reason(outcome);
            attempt.tookNanos = eventLoop.now() - attempt.sentAt;
            attempt.pendingCall.attemptsInFlight--;
            notifyDispatcher(
                    attempt,
                    new ExchangeResult(
                            outcome,
                            CacheStatus.UNKNOWN,
                            0,
                            Map.of(),
                            0,
                            attempt.tookNanos,
                            null,
                            null,
                            attempt.reason));
        }
    }

    /** The name of an outcome in the worker protocol, as used in answers to clients and in logs. */
    private static String reason(Outcome outcome) {
        return outcome == Outcome.SUPERSEDED ? "moot" : outcome.name().toLowerCase(Locale.ROOT);
    }

    /** Handles the start of a streamed answer. */
    void onStreamStarted(PendingAttempt attempt, WorkerTransport.ResponseStream stream) {
        PendingCall call = attempt.pendingCall;
        if (attempt.completed || call.answered) {
            stream.cancel();
            endAttempt(attempt, Outcome.CANCELLED);
            return;
        }
        attempt.stream = stream;
        attempt.reason = "streams";
        metrics.increment(Counter.STREAMS);
        call.clientCall.responseSink().startStream(stream, call.metadata(attempt.worker, "", false));
        onAnswered(call, Counter.SERVED, "served", null);
        dispatcher.get().onStreamStarted(eventLoop.now(), call.id, attempt.index, attempt.worker);
    }

    // ---- Final answers ----------------------------------------------------------------------

    /**
     * Handles a client that cancelled its call or disconnected. An answer that is being streamed is cancelled. If the call has no
     * answer yet, {@code cancelAll} cancels all its attempts; without it, attempts that were already written to a worker continue.
     */
    void onClientCancelled(ClientCall clientCall, boolean cancelAll) {
        PendingCall call = callsByClientCall.get(clientCall);
        if (call == null) {
            return;
        }
        if (call.answered) { // the answer may still be streaming with no client to receive it
            call.attempts.stream()
                    .filter(attempt -> !attempt.completed && attempt.stream != null)
                    .forEach(attempt -> attempt.stream.cancel());
            return;
        }
        onAnswered(call, Counter.CLIENT_CANCELLED, "left", null);
        dispatcher.get().onClientCancelled(eventLoop.now(), call.id);
        for (PendingAttempt attempt : List.copyOf(call.attempts)) {
            if (!attempt.completed && (cancelAll || attempt.stream != null)) {
                endAttempt(attempt, Outcome.CANCELLED);
            } else if (!attempt.completed) {
                attempt.handle.cancelIfUnsent(); // the attempt may still be waiting for a connection
            }
        }
        removeIfDone(call);
    }

    /** Answers a call that the dispatcher rejects or fails. */
    void endCall(String id, FinalAnswer answer, long retryAfterNanos, Counter counter) {
        PendingCall call = callsById.get(id);
        if (call != null && !call.answered) {
            call.clientCall.responseSink().sendError(answer, retryAfterNanos, call.metadata(null, "not-sent", false));
            onAnswered(call, counter, answer.word(), "not-sent");
            removeIfDone(call);
        }
    }

    /**
     * Sends every call that has no answer yet its final answer, cancels all attempts and empties the table. Answers that are being
     * streamed continue unless {@code cancelStreams} is set.
     *
     * @param reason stands in answers and in the access log for the attempts of a call that had none
     * @return the number of calls that had not been answered
     */
    int endAll(String reason, boolean cancelStreams) {
        List<PendingCall> all = new ArrayList<>(callsById.values());
        int endedCalls = 0;
        endingAll = true;
        for (PendingCall call : all) {
            for (PendingAttempt attempt : call.attempts) {
                if (!attempt.completed && (attempt.stream == null || cancelStreams)) {
                    attempt.completed = true;
                    attempt.handle.cancel();
                }
            }
            if (!call.answered) {
                endedCalls++;
                FinalAnswer answer = call.attempts.isEmpty() ? FinalAnswer.REFUSED : FinalAnswer.FAILED;
                call.clientCall.responseSink().sendError(answer, 0, call.metadata(null, reason, false));
                Counter counter = answer == FinalAnswer.REFUSED ? Counter.REJECTED : Counter.FAILED;
                onAnswered(call, counter, answer.word(), reason);
            }
        }
        all.forEach(PendingCall::cancelTimers);
        callsById.clear();
        callsByClientCall.clear();
        endingAll = false;
        return endedCalls;
    }

    private void onAnswered(PendingCall call, Counter counter, String answer, String reason) {
        call.answered = true;
        metrics.increment(counter);
        submissionQueue.onCompleted();
        if (call.admitted) {
            long tookNanos = eventLoop.now() - call.acceptedAt;
            submissionQueue.release(
                    call.clientCall.head().tenant(),
                    admissionEnd(counter),
                    tookNanos,
                    latencyObjectives.get(call.clientCall.requestClass()));
        }
        ReferenceCountUtil.release(call.clientCall.body());
        if (log.isAccessLogEnabled()) {
            List<String> summaries = call.accessLogSummaries();
            log.onAnswered(new AccessLog.Entry(
                    call.externalId(),
                    call.clientCall.head().function(),
                    call.clientCall.requestClass(),
                    call.clientCall.head().tenant(),
                    answer,
                    eventLoop.now() - eventLoop.clock().fromNanoTime(call.clientCall.receivedAt()),
                    reason == null || !summaries.isEmpty() ? summaries : List.of(reason)));
        }
        onCallEnded.run();
    }

    private static AdmissionController.CallEnd admissionEnd(Counter counter) {
        return switch (counter) {
            case SERVED -> AdmissionController.CallEnd.ANSWERED;
            case REJECTED -> AdmissionController.CallEnd.REJECTED;
            default -> AdmissionController.CallEnd.OTHER;
        };
    }

    private void removeIfDone(PendingCall call) {
        if (call.answered && call.attemptsInFlight == 0) {
            call.cancelTimers();
            callsById.remove(call.id, call);
            callsByClientCall.remove(call.clientCall, call);
            onCallEnded.run();
        }
    }
}

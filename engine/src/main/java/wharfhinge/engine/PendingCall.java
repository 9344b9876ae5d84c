package wharfhinge.engine;

import java.util.ArrayList;
import java.util.List;
import wharfhinge.engine.ResponseSink.ResponseMetadata;

/** An accepted call that is not yet answered or has attempts that have not ended. Confined to the engine's thread. */
final class PendingCall {
    final String id;
    final ClientCall clientCall;
    final long acceptedAt;
    final long deadline;
    final List<PendingAttempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean answered;
    /** Timers that are not needed once the call is removed. */
    private final List<TimerQueue.Timer> timers = new ArrayList<>(2);

    boolean admitted; // whether the admission gate counts this call; it counts a chain, not the chain's steps

    PendingCall(String id, ClientCall clientCall, long acceptedAt, long deadline) {
        this.id = id;
        this.clientCall = clientCall;
        this.acceptedAt = acceptedAt;
        this.deadline = deadline;
    }

    /** Keeps a timer that is cancelled with the call. */
    void addTimer(TimerQueue.Timer timer) {
        timers.removeIf(other -> !other.isActive());
        timers.add(timer);
    }

    /** Cancels the timers, which would keep the call in memory until they are due. */
    void cancelTimers() {
        timers.forEach(TimerQueue.Timer::cancel);
        timers.clear();
    }

    /** The id that workers and logs use for the call: the client's own if it provided one. */
    String externalId() {
        return clientCall.head().id() != null ? clientCall.head().id() : id;
    }

    /** Whether an answer is being streamed from a worker to the client. */
    boolean isStreaming() {
        return attempts.stream().anyMatch(attempt -> attempt.stream != null && !attempt.completed);
    }

    ResponseMetadata metadata(String worker, String summaryWithoutAttempts, boolean loaded) {
        List<String> summaries = new ArrayList<>(attempts.size());
        for (PendingAttempt attempt : attempts) {
            summaries.add(attempt.worker + ':' + (attempt.reason == null ? "open" : attempt.reason));
        }
        return new ResponseMetadata(
                worker, summaries.isEmpty() ? List.of(summaryWithoutAttempts) : summaries, attempts.size(), loaded);
    }

    List<String> accessLogSummaries() {
        List<String> summaries = new ArrayList<>(attempts.size());
        for (PendingAttempt attempt : attempts) {
            summaries.add(attempt.worker
                    + ' '
                    + (attempt.reason == null ? "open" : attempt.reason + ' ' + attempt.tookNanos / 1000 + "us"));
        }
        return summaries;
    }

    /** One attempt of a call, kept until the call is removed. It is completed once its result is known or it was cancelled. */
    static final class PendingAttempt {
        final PendingCall pendingCall;
        final int index;
        final String worker;
        final long sentAt;
        WorkerTransport.AttemptHandle handle;
        WorkerTransport.ResponseStream stream; // null unless a streamed answer has started
        boolean completed;
        String reason; // as in ExchangeResult, or "streams" for a streamed answer; null before
        long tookNanos;

        PendingAttempt(PendingCall pendingCall, int index, String worker, long sentAt) {
            this.pendingCall = pendingCall;
            this.index = index;
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }
}

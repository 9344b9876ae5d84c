package wharfhinge.engine;

import java.util.ArrayList;
import java.util.List;
import wharfhinge.engine.ResponseSink.ResponseMetadata;

/** A call that is open, or whose attempts are; touched by the loop's thread alone. */
final class PendingCall {
    final String id;
    final ClientCall call;
    final long takenAt;
    final long deadline;
    final List<PendingAttempt> attempts = new ArrayList<>(2);
    int live;
    boolean answered;
    boolean throughDoor; // steps of chains are not, their chain is

    PendingCall(String id, ClientCall call, long takenAt, long deadline) {
        this.id = id;
        this.call = call;
        this.takenAt = takenAt;
        this.deadline = deadline;
    }

    /** What the worker's page calls the call: the client's own id where it gave one. */
    String outerId() {
        return call.head().id() != null ? call.head().id() : id;
    }

    /** Whether an answer to it is on its way from a worker to its client. */
    boolean streams() {
        return attempts.stream().anyMatch(a -> a.stream != null && !a.ended);
    }

    ResponseMetadata facts(String worker, String otherwise, boolean loaded) {
        List<String> trail = new ArrayList<>(attempts.size());
        for (PendingAttempt a : attempts) {
            trail.add(a.worker + ':' + (a.how == null ? "open" : a.how));
        }
        return new ResponseMetadata(worker, trail.isEmpty() ? List.of(otherwise) : trail, attempts.size(), loaded);
    }

    List<String> trail() {
        List<String> trail = new ArrayList<>(attempts.size());
        for (PendingAttempt a : attempts) {
            trail.add(a.worker + ' ' + (a.how == null ? "open" : a.how + ' ' + a.tookNanos / 1000 + "us"));
        }
        return trail;
    }

    /** One attempt. */
    static final class PendingAttempt {
        final PendingCall call;
        final int index;
        final String worker;
        final long sentAt;
        WorkerTransport.AttemptHandle sent;
        WorkerTransport.ResponseStream stream;
        boolean ended;
        String how;
        long tookNanos;

        PendingAttempt(PendingCall call, int index, String worker, long sentAt) {
            this.call = call;
            this.index = index;
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }
}

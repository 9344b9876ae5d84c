package wharfhinge.capture;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import wharfhinge.capture.RecordedAction.Kind;
import wharfhinge.policy.DispatcherActions;

/** Records the actions of a dispatcher and passes them on to a delegate, if there is one. Not thread-safe. */
public final class ActionRecorder implements DispatcherActions {
    private final DispatcherActions delegate;
    private List<RecordedAction> recorded = new ArrayList<>();

    /** {@code delegate} carries out the actions; null if they are only recorded. */
    public ActionRecorder(DispatcherActions delegate) {
        this.delegate = delegate;
    }

    /** Returns the actions recorded since the last call. */
    public List<RecordedAction> drain() {
        List<RecordedAction> all = recorded;
        recorded = new ArrayList<>();
        return all;
    }

    /** Returns whether there is a delegate to pass the action to. */
    private boolean record(Kind kind, String request, String worker, String function, String text, long number) {
        recorded.add(new RecordedAction(kind, request, worker, function, text, number, ""));
        return delegate != null;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        if (record(Kind.ATTEMPT, request, worker, "", "", timeoutNanos)) {
            delegate.sendAttempt(request, worker, timeoutNanos);
        }
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        if (record(Kind.CANCEL, request, "", "", "", attempt)) {
            delegate.cancelAttempt(request, attempt);
        }
    }

    @Override
    public void reject(String request, long retryAfterNanos) {
        if (record(Kind.REFUSE, request, "", "", "", retryAfterNanos)) {
            delegate.reject(request, retryAfterNanos);
        }
    }

    @Override
    public void fail(String request) {
        if (record(Kind.FAIL, request, "", "", "", 0)) {
            delegate.fail(request);
        }
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        if (record(Kind.HOLD, "", worker, function, "", count)) {
            delegate.ensureLoaded(worker, function, count);
        }
    }

    @Override
    public void unload(String worker, String function) {
        if (record(Kind.UNLOAD, "", worker, function, "", 0)) {
            delegate.unload(worker, function);
        }
    }

    @Override
    public void probe(String worker) {
        if (record(Kind.PROBE, "", worker, "", "", 0)) {
            delegate.probe(worker);
        }
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        if (record(Kind.TIMER, "", "", "", token, delayNanos)) {
            delegate.scheduleTimer(token, delayNanos);
        }
    }

    /** Recorded as any other timer. */
    @Override
    public void scheduleRequestTimer(String request, String token, long delayNanos) {
        if (record(Kind.TIMER, "", "", "", token, delayNanos)) {
            delegate.scheduleRequestTimer(request, token, delayNanos);
        }
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        recorded.add(new RecordedAction(
                Kind.PUBLISH, "", "", "", "", peer, Base64.getEncoder().encodeToString(payload)));
        if (delegate != null) {
            delegate.sendToPeers(peer, payload);
        }
    }

    @Override
    public void watchEndpoints(boolean on) {
        if (record(Kind.LISTEN, "", "", "", "", on ? 1 : 0)) {
            delegate.watchEndpoints(on);
        }
    }

    @Override
    public void refreshEndpoints() {
        if (record(Kind.RELOAD, "", "", "", "", 0)) {
            delegate.refreshEndpoints();
        }
    }

    @Override
    public void closeIdleConnections(String worker) {
        if (record(Kind.HANG_UP, "", worker, "", "", 0)) {
            delegate.closeIdleConnections(worker);
        }
    }

    @Override
    public void logDiagnostic(String text) {
        if (record(Kind.REMARK, "", "", "", text, 0)) {
            delegate.logDiagnostic(text);
        }
    }
}

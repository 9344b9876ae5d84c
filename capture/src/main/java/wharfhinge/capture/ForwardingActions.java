package wharfhinge.capture;

import wharfhinge.policy.DispatcherActions;

/** Forwards every action to a delegate; subclasses override what they change. */
public class ForwardingActions implements DispatcherActions {
    private final DispatcherActions delegate;

    /** Forwards to {@code delegate}. */
    protected ForwardingActions(DispatcherActions delegate) {
        this.delegate = delegate;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        delegate.sendAttempt(request, worker, timeoutNanos);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        delegate.cancelAttempt(request, attempt);
    }

    @Override
    public void reject(String request, long retryAfterNanos) {
        delegate.reject(request, retryAfterNanos);
    }

    @Override
    public void fail(String request) {
        delegate.fail(request);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        delegate.ensureLoaded(worker, function, count);
    }

    @Override
    public void unload(String worker, String function) {
        delegate.unload(worker, function);
    }

    @Override
    public void probe(String worker) {
        delegate.probe(worker);
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        delegate.scheduleTimer(token, delayNanos);
    }

    @Override
    public void scheduleRequestTimer(String request, String token, long delayNanos) {
        delegate.scheduleRequestTimer(request, token, delayNanos);
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        delegate.sendToPeers(peer, payload);
    }

    @Override
    public void watchEndpoints(boolean on) {
        delegate.watchEndpoints(on);
    }

    @Override
    public void refreshEndpoints() {
        delegate.refreshEndpoints();
    }

    @Override
    public void closeIdleConnections(String worker) {
        delegate.closeIdleConnections(worker);
    }

    @Override
    public void logDiagnostic(String text) {
        delegate.logDiagnostic(text);
    }
}

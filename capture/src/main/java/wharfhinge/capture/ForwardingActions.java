package wharfhinge.capture;

import wharfhinge.policy.DispatcherActions;

/** Hands every action on; those who stand between change what they must. */
public class ForwardingActions implements DispatcherActions {
    private final DispatcherActions to;

    /** Hands on to {@code to}. */
    protected ForwardingActions(DispatcherActions to) {
        this.to = to;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        to.sendAttempt(request, worker, timeoutNanos);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        to.cancelAttempt(request, attempt);
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        to.reject(request, coolDownNanos);
    }

    @Override
    public void fail(String request) {
        to.fail(request);
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        to.ensureLoaded(worker, function, count);
    }

    @Override
    public void unload(String worker, String function) {
        to.unload(worker, function);
    }

    @Override
    public void probe(String worker) {
        to.probe(worker);
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        to.scheduleTimer(token, delayNanos);
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        to.sendToPeers(peer, payload);
    }

    @Override
    public void watchEndpoints(boolean on) {
        to.watchEndpoints(on);
    }

    @Override
    public void refreshEndpoints() {
        to.refreshEndpoints();
    }

    @Override
    public void closeIdleConnections(String worker) {
        to.closeIdleConnections(worker);
    }

    @Override
    public void logDiagnostic(String text) {
        to.logDiagnostic(text);
    }
}

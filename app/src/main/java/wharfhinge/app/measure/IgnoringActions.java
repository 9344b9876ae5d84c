package wharfhinge.app.measure;

import wharfhinge.policy.DispatcherActions;

/** Ignores every action of a dispatcher; a measurement overrides those that it needs. */
class IgnoringActions implements DispatcherActions {
    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {}

    @Override
    public void probe(String worker) {}

    @Override
    public void scheduleTimer(String token, long delayNanos) {}

    @Override
    public void cancelAttempt(String request, int attempt) {}

    @Override
    public void reject(String request, long retryAfterNanos) {}

    @Override
    public void fail(String request) {}

    @Override
    public void ensureLoaded(String worker, String function, int count) {}

    @Override
    public void unload(String worker, String function) {}

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

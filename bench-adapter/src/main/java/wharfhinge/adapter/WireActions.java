package wharfhinge.adapter;

import java.util.HexFormat;
import wharfhinge.policy.DispatcherActions;

/** Writes the actions of one dispatcher instance as lines of the reply. */
final class WireActions implements DispatcherActions {
    private final StringBuilder reply;
    private final int instance;

    WireActions(StringBuilder reply, int instance) {
        this.reply = reply;
        this.instance = instance;
    }

    private StringBuilder startLine(String message) {
        return reply.append(message).append(' ').append(instance);
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        startLine("ATTEMPT")
                .append(' ')
                .append(request)
                .append(' ')
                .append(timeoutNanos)
                .append(' ')
                .append(worker)
                .append('\n');
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        startLine("RECALL")
                .append(' ')
                .append(request)
                .append(' ')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        startLine("PUSH_BACK")
                .append(' ')
                .append(request)
                .append(' ')
                .append(coolDownNanos)
                .append('\n');
    }

    @Override
    public void fail(String request) {
        startLine("DROP_REQUEST").append(' ').append(request).append('\n');
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        startLine("BRING_UP")
                .append(' ')
                .append(function)
                .append(' ')
                .append(count)
                .append(' ')
                .append(worker)
                .append('\n');
    }

    @Override
    public void unload(String worker, String function) {
        startLine("SHELVE")
                .append(' ')
                .append(worker)
                .append(' ')
                .append(function)
                .append('\n');
    }

    @Override
    public void probe(String worker) {
        startLine("TEST").append(' ').append(worker).append('\n');
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        startLine("NOTIFY_ME")
                .append(' ')
                .append(token)
                .append(' ')
                .append(delayNanos)
                .append('\n');
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        startLine("PUBLISH")
                .append(' ')
                .append(peer)
                .append(' ')
                .append(payload.length == 0 ? "-" : HexFormat.of().formatHex(payload))
                .append('\n');
    }

    @Override
    public void watchEndpoints(boolean on) {
        startLine("LISTEN").append(on ? " 1\n" : " 0\n");
    }

    @Override
    public void refreshEndpoints() {
        startLine("RELOAD").append('\n');
    }

    @Override
    public void closeIdleConnections(String worker) {
        startLine("HANG_UP").append(' ').append(worker).append('\n');
    }

    @Override
    public void logDiagnostic(String text) {
        startLine("REMARK").append(' ').append(text.replace('\n', ' ')).append('\n');
    }

    /** Reports that the instance's dispatcher threw an exception. */
    void reportException(String reason) {
        startLine("EXCEPTION").append(' ').append(reason.replace('\n', ' ')).append('\n');
    }
}

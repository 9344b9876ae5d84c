package wharfhinge.capture;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import wharfhinge.capture.Act.Kind;
import wharfhinge.policy.DispatcherActions;

/** Takes down what a dispatcher decides, and hands it on where there is somebody to do it. One thread. */
public final class Acts implements DispatcherActions {
    private final DispatcherActions doing;
    private List<Act> taken = new ArrayList<>();

    /** {@code doing} does it, or null where nobody does. */
    public Acts(DispatcherActions doing) {
        this.doing = doing;
    }

    /** What was decided since the last time. */
    public List<Act> take() {
        List<Act> all = taken;
        taken = new ArrayList<>();
        return all;
    }

    private boolean note(Kind kind, String request, String worker, String function, String text, long number) {
        taken.add(new Act(kind, request, worker, function, text, number, ""));
        return doing != null;
    }

    @Override
    public void sendAttempt(String request, String worker, long timeoutNanos) {
        if (note(Kind.ATTEMPT, request, worker, "", "", timeoutNanos)) {
            doing.sendAttempt(request, worker, timeoutNanos);
        }
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        if (note(Kind.CANCEL, request, "", "", "", attempt)) {
            doing.cancelAttempt(request, attempt);
        }
    }

    @Override
    public void reject(String request, long coolDownNanos) {
        if (note(Kind.REFUSE, request, "", "", "", coolDownNanos)) {
            doing.reject(request, coolDownNanos);
        }
    }

    @Override
    public void fail(String request) {
        if (note(Kind.FAIL, request, "", "", "", 0)) {
            doing.fail(request);
        }
    }

    @Override
    public void ensureLoaded(String worker, String function, int count) {
        if (note(Kind.HOLD, "", worker, function, "", count)) {
            doing.ensureLoaded(worker, function, count);
        }
    }

    @Override
    public void unload(String worker, String function) {
        if (note(Kind.UNLOAD, "", worker, function, "", 0)) {
            doing.unload(worker, function);
        }
    }

    @Override
    public void probe(String worker) {
        if (note(Kind.PROBE, "", worker, "", "", 0)) {
            doing.probe(worker);
        }
    }

    @Override
    public void scheduleTimer(String token, long delayNanos) {
        if (note(Kind.TIMER, "", "", "", token, delayNanos)) {
            doing.scheduleTimer(token, delayNanos);
        }
    }

    @Override
    public void sendToPeers(int peer, byte[] payload) {
        taken.add(
                new Act(Kind.PUBLISH, "", "", "", "", peer, Base64.getEncoder().encodeToString(payload)));
        if (doing != null) {
            doing.sendToPeers(peer, payload);
        }
    }

    @Override
    public void watchEndpoints(boolean on) {
        if (note(Kind.LISTEN, "", "", "", "", on ? 1 : 0)) {
            doing.watchEndpoints(on);
        }
    }

    @Override
    public void refreshEndpoints() {
        if (note(Kind.RELOAD, "", "", "", "", 0)) {
            doing.refreshEndpoints();
        }
    }

    @Override
    public void closeIdleConnections(String worker) {
        if (note(Kind.HANG_UP, "", worker, "", "", 0)) {
            doing.closeIdleConnections(worker);
        }
    }

    @Override
    public void logDiagnostic(String text) {
        if (note(Kind.REMARK, "", "", "", text, 0)) {
            doing.logDiagnostic(text);
        }
    }
}

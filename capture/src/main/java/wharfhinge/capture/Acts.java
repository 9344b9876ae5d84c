package wharfhinge.capture;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import wharfhinge.Dispatcher;
import wharfhinge.capture.Act.Kind;

/** Takes down what a dispatcher decides, and hands it on where there is somebody to do it. One thread. */
public final class Acts implements Dispatcher.Actions {
    private final Dispatcher.Actions doing;
    private List<Act> taken = new ArrayList<>();

    /** {@code doing} does it, or null where nobody does. */
    public Acts(Dispatcher.Actions doing) {
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
    public void attempt(String request, String worker, long timeoutNs) {
        if (note(Kind.ATTEMPT, request, worker, "", "", timeoutNs)) {
            doing.attempt(request, worker, timeoutNs);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        if (note(Kind.CANCEL, request, "", "", "", attempt)) {
            doing.cancel(request, attempt);
        }
    }

    @Override
    public void refuse(String request, long coolDownNs) {
        if (note(Kind.REFUSE, request, "", "", "", coolDownNs)) {
            doing.refuse(request, coolDownNs);
        }
    }

    @Override
    public void fail(String request) {
        if (note(Kind.FAIL, request, "", "", "", 0)) {
            doing.fail(request);
        }
    }

    @Override
    public void hold(String worker, String function, int count) {
        if (note(Kind.HOLD, "", worker, function, "", count)) {
            doing.hold(worker, function, count);
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
    public void timer(String token, long delayNs) {
        if (note(Kind.TIMER, "", "", "", token, delayNs)) {
            doing.timer(token, delayNs);
        }
    }

    @Override
    public void publish(int peer, byte[] payload) {
        taken.add(
                new Act(Kind.PUBLISH, "", "", "", "", peer, Base64.getEncoder().encodeToString(payload)));
        if (doing != null) {
            doing.publish(peer, payload);
        }
    }

    @Override
    public void listen(boolean on) {
        if (note(Kind.LISTEN, "", "", "", "", on ? 1 : 0)) {
            doing.listen(on);
        }
    }

    @Override
    public void reload() {
        if (note(Kind.RELOAD, "", "", "", "", 0)) {
            doing.reload();
        }
    }

    @Override
    public void hangUp(String worker) {
        if (note(Kind.HANG_UP, "", worker, "", "", 0)) {
            doing.hangUp(worker);
        }
    }

    @Override
    public void remark(String text) {
        if (note(Kind.REMARK, "", "", "", text, 0)) {
            doing.remark(text);
        }
    }
}

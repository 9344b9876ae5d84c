package wharfhinge.capture;

import wharfhinge.Dispatcher.Actions;

/** Hands every action on; those who stand between change what they must. */
public class ForwardingActions implements Actions {
    private final Actions to;

    /** Hands on to {@code to}. */
    protected ForwardingActions(Actions to) {
        this.to = to;
    }

    @Override
    public void attempt(String request, String worker, long timeoutNs) {
        to.attempt(request, worker, timeoutNs);
    }

    @Override
    public void cancel(String request, int attempt) {
        to.cancel(request, attempt);
    }

    @Override
    public void refuse(String request, long coolDownNs) {
        to.refuse(request, coolDownNs);
    }

    @Override
    public void fail(String request) {
        to.fail(request);
    }

    @Override
    public void hold(String worker, String function, int count) {
        to.hold(worker, function, count);
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
    public void timer(String token, long delayNs) {
        to.timer(token, delayNs);
    }

    @Override
    public void publish(int peer, byte[] payload) {
        to.publish(peer, payload);
    }

    @Override
    public void listen(boolean on) {
        to.listen(on);
    }

    @Override
    public void reload() {
        to.reload();
    }

    @Override
    public void hangUp(String worker) {
        to.hangUp(worker);
    }

    @Override
    public void remark(String text) {
        to.remark(text);
    }
}

package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherStateSizes;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.policy.SendCondition;
import wharfhinge.policy.WorkerSnapshot;

/** Forwards every event and query to a delegate; subclasses override what they change. */
public class ForwardingDispatcher implements Dispatcher {
    private final Dispatcher delegate;

    /** Forwards to {@code delegate}. */
    protected ForwardingDispatcher(Dispatcher delegate) {
        this.delegate = delegate;
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
        delegate.onEndpointUpdate(now, mode, revision, entries);
    }

    @Override
    public void onEndpointsConfirmed(long now, long at) {
        delegate.onEndpointsConfirmed(now, at);
    }

    @Override
    public void onEndpointsUnconfirmed(long now) {
        delegate.onEndpointsUnconfirmed(now);
    }

    @Override
    public void onWorkerDisconnected(long now, String worker) {
        delegate.onWorkerDisconnected(now, worker);
    }

    @Override
    public DispatcherStateSizes stateSizes() {
        return delegate.stateSizes();
    }

    @Override
    public SendCondition sendCondition(long now, String worker, SendCondition.Purpose purpose) {
        return delegate.sendCondition(now, worker, purpose);
    }

    @Override
    public void onRequest(long now, Request request) {
        delegate.onRequest(now, request);
    }

    @Override
    public void onClientCancelled(long now, String request) {
        delegate.onClientCancelled(now, request);
    }

    @Override
    public void onProbeCompleted(long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
        delegate.onProbeCompleted(now, worker, outcome, tookNanos, report);
    }

    @Override
    public void onStreamStarted(long now, String request, int attempt, String worker) {
        delegate.onStreamStarted(now, request, attempt, worker);
    }

    @Override
    public void onPeerMessage(long now, int peer, byte[] payload) {
        delegate.onPeerMessage(now, peer, payload);
    }

    @Override
    public void onTimer(long now, String token) {
        delegate.onTimer(now, token);
    }

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {
        delegate.onAttemptCompleted(now, completion);
    }

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
        delegate.onLoadCompleted(now, worker, function, count, outcome, tookNanos);
    }

    @Override
    public boolean isCached(long now, String function) {
        return delegate.isCached(now, function);
    }

    @Override
    public void onRequestExpected(long now, Request request) {
        delegate.onRequestExpected(now, request);
    }

    @Override
    public List<WorkerSnapshot> workerStates(long now, String function) {
        return delegate.workerStates(now, function);
    }
}

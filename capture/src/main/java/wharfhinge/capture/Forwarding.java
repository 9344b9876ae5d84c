package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.policy.WorkerSnapshot;

/** Hands every event on to other decisions; those who stand before them change what they must. */
public class Forwarding implements Dispatcher {
    private final Dispatcher to;

    /** Hands on to {@code to}. */
    protected Forwarding(Dispatcher to) {
        this.to = to;
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
        to.onEndpointUpdate(now, mode, revision, entries);
    }

    @Override
    public void onRequest(long now, Request request) {
        to.onRequest(now, request);
    }

    @Override
    public void onClientCancelled(long now, String request) {
        to.onClientCancelled(now, request);
    }

    @Override
    public void onProbeCompleted(long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
        to.onProbeCompleted(now, worker, outcome, tookNanos, report);
    }

    @Override
    public void onStreamStarted(long now, String request, int attempt, String worker) {
        to.onStreamStarted(now, request, attempt, worker);
    }

    @Override
    public void onPeerMessage(long now, int peer, byte[] payload) {
        to.onPeerMessage(now, peer, payload);
    }

    @Override
    public void onTimer(long now, String token) {
        to.onTimer(now, token);
    }

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {
        to.onAttemptCompleted(now, completion);
    }

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
        to.onLoadCompleted(now, worker, function, count, outcome, tookNanos);
    }

    @Override
    public boolean isCached(long now, String function) {
        return to.isCached(now, function);
    }

    @Override
    public void onRequestExpected(long now, Request request) {
        to.onRequestExpected(now, request);
    }

    @Override
    public List<WorkerSnapshot> workerStates(long now, String function) {
        return to.workerStates(now, function);
    }
}

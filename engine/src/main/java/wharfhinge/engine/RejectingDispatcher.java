package wharfhinge.engine;

import java.util.List;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/** Replaces a dispatcher that could not be created: rejects every call at once, so that each still gets its answer. */
final class RejectingDispatcher implements Dispatcher {
    private final DispatcherActions actions;

    RejectingDispatcher(DispatcherActions actions) {
        this.actions = actions;
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {}

    @Override
    public void onRequest(long now, Request request) {
        actions.reject(request.id(), 0);
    }

    @Override
    public void onClientCancelled(long now, String request) {}

    @Override
    public void onStreamStarted(long now, String request, int attempt, String worker) {}

    @Override
    public void onTimer(long now, String token) {}

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {}

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {}
}

package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.DispatcherStateSizes;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.policy.SendCondition;

/**
 * Records the events and actions of a dispatcher, in order. Each frame is passed to {@code sink} once the dispatcher has returned or
 * thrown; the sink must not block. Not thread-safe.
 */
public final class Recorder implements Dispatcher {
    private final Dispatcher delegate;
    private final ActionRecorder actions;
    private final Consumer<Frame> sink;

    /** Creates a dispatcher. */
    public interface DispatcherConstructor {
        /** Creates a dispatcher without any state. */
        Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);
    }

    /** Creates the dispatcher that is recorded; its construction is the first frame. */
    public Recorder(
            DispatcherConstructor constructor,
            long now,
            int incarnation,
            long seed,
            DispatcherSettings settings,
            DispatcherActions actions,
            Consumer<Frame> sink) {
        this.sink = sink;
        this.actions = new ActionRecorder(actions);
        this.delegate = constructor.create(now, seed, settings, this.actions);
        sink.accept(new Frame(now, new Event.Life(incarnation, seed, settings), this.actions.drain(), ""));
    }

    private void record(long now, Event event) {
        String thrown = "";
        try {
            event.applyTo(now, delegate);
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            thrown = e.getClass().getName();
            throw e;
        } finally {
            sink.accept(new Frame(now, event, actions.drain(), thrown));
        }
    }

    /** Records the client's id of the call that is received next. */
    public void named(long now, String request, String outer) {
        sink.accept(new Frame(now, new Event.Named(request, outer), List.of(), ""));
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
        record(now, new Event.Members(mode, revision, List.copyOf(entries)));
    }

    // The next five methods forward without recording: the capture format has no events for them, and endpoint sources
    // that call them
    // are not captured.

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
        record(now, new Event.Query(request));
    }

    @Override
    public void onClientCancelled(long now, String request) {
        record(now, new Event.ClientLeft(request));
    }

    @Override
    public void onProbeCompleted(long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
        record(now, new Event.Probed(worker, outcome, tookNanos, report));
    }

    @Override
    public void onStreamStarted(long now, String request, int attempt, String worker) {
        record(now, new Event.Established(request, attempt, worker));
    }

    @Override
    public void onPeerMessage(long now, int peer, byte[] payload) {
        record(now, new Event.Inbox(peer, payload));
    }

    @Override
    public void onTimer(long now, String token) {
        record(now, new Event.Due(token));
    }

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {
        record(now, new Event.Completed(completion));
    }

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
        record(now, new Event.Resident(worker, function, count, outcome, tookNanos));
    }

    @Override
    public boolean isCached(long now, String function) {
        boolean cached = delegate.isCached(now, function);
        sink.accept(new Frame(now, new Event.AskedWarm(function, cached), actions.drain(), ""));
        return cached;
    }

    @Override
    public void onRequestExpected(long now, Request request) {
        record(now, new Event.Expected(request));
    }
}

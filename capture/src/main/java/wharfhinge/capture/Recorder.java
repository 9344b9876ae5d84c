package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/**
 * Stands before a dispatcher and takes down what it is told and what it decides, in the order in which it happens. Each
 * event is handed to {@code sink} once the dispatcher has returned, or thrown; handing over must not block. One thread.
 */
public final class Recorder implements Dispatcher {
    private final Dispatcher to;
    private final Acts acts;
    private final Consumer<Frame> sink;

    /** Makes a dispatcher. */
    public interface Maker {
        /** A new one. */
        Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);
    }

    /** Makes a dispatcher that is recorded; its making is the first frame. */
    public Recorder(
            Maker maker,
            long now,
            int life,
            long seed,
            DispatcherSettings settings,
            DispatcherActions actions,
            Consumer<Frame> sink) {
        this.sink = sink;
        this.acts = new Acts(actions);
        this.to = maker.create(now, seed, settings, acts);
        sink.accept(new Frame(now, new Event.Life(life, seed, settings), acts.take(), ""));
    }

    private void told(long now, Event event) {
        String thrown = "";
        try {
            event.tell(now, to);
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            thrown = e.getClass().getName();
            throw e;
        } finally {
            sink.accept(new Frame(now, event, acts.take(), thrown));
        }
    }

    /** The client's name of a call that is told next. */
    public void named(long now, String request, String outer) {
        sink.accept(new Frame(now, new Event.Named(request, outer), List.of(), ""));
    }

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries) {
        told(now, new Event.Members(mode, revision, List.copyOf(entries)));
    }

    @Override
    public void onRequest(long now, Request request) {
        told(now, new Event.Query(request));
    }

    @Override
    public void onClientCancelled(long now, String request) {
        told(now, new Event.ClientLeft(request));
    }

    @Override
    public void onProbeCompleted(long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {
        told(now, new Event.Probed(worker, outcome, tookNanos, report));
    }

    @Override
    public void onStreamStarted(long now, String request, int attempt, String worker) {
        told(now, new Event.Established(request, attempt, worker));
    }

    @Override
    public void onPeerMessage(long now, int peer, byte[] payload) {
        told(now, new Event.Inbox(peer, payload));
    }

    @Override
    public void onTimer(long now, String token) {
        told(now, new Event.Due(token));
    }

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {
        told(now, new Event.Completed(completion));
    }

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
        told(now, new Event.Resident(worker, function, count, outcome, tookNanos));
    }

    @Override
    public boolean isCached(long now, String function) {
        boolean warm = to.isCached(now, function);
        sink.accept(new Frame(now, new Event.AskedWarm(function, warm), acts.take(), ""));
        return warm;
    }

    @Override
    public void onRequestExpected(long now, Request request) {
        told(now, new Event.Expected(request));
    }
}

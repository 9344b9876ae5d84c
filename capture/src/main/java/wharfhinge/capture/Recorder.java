package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharfhinge.Dispatcher;

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
        Dispatcher create(long now, long seed, Settings settings, Actions actions);
    }

    /** Makes a dispatcher that is recorded; its making is the first frame. */
    public Recorder(
            Maker maker, long now, int life, long seed, Settings settings, Actions actions, Consumer<Frame> sink) {
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
    public void members(long now, ListMode mode, long revision, List<Worker> entries) {
        told(now, new Event.Members(mode, revision, List.copyOf(entries)));
    }

    @Override
    public void query(long now, Request request) {
        told(now, new Event.Query(request));
    }

    @Override
    public void clientLeft(long now, String request) {
        told(now, new Event.ClientLeft(request));
    }

    @Override
    public void probed(long now, String worker, Outcome outcome, long tookNs, Map<String, Double> report) {
        told(now, new Event.Probed(worker, outcome, tookNs, report));
    }

    @Override
    public void established(long now, String request, int attempt, String worker) {
        told(now, new Event.Established(request, attempt, worker));
    }

    @Override
    public void inbox(long now, int peer, byte[] payload) {
        told(now, new Event.Inbox(peer, payload));
    }

    @Override
    public void due(long now, String token) {
        told(now, new Event.Due(token));
    }

    @Override
    public void completed(long now, Completion completion) {
        told(now, new Event.Completed(completion));
    }

    @Override
    public void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs) {
        told(now, new Event.Resident(worker, function, count, outcome, tookNs));
    }

    @Override
    public boolean believedWarm(long now, String function) {
        boolean warm = to.believedWarm(now, function);
        sink.accept(new Frame(now, new Event.AskedWarm(function, warm), acts.take(), ""));
        return warm;
    }

    @Override
    public void expected(long now, Request request) {
        told(now, new Event.Expected(request));
    }
}

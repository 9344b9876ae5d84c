package wharfhinge.capture;

import java.util.List;
import java.util.Map;
import wharfhinge.Dispatcher;

/** Hands every event on to other decisions; those who stand before them change what they must. */
public class Forwarding implements Dispatcher {
    private final Dispatcher to;

    /** Hands on to {@code to}. */
    protected Forwarding(Dispatcher to) {
        this.to = to;
    }

    @Override
    public void members(long now, ListMode mode, long revision, List<Worker> entries) {
        to.members(now, mode, revision, entries);
    }

    @Override
    public void query(long now, Request request) {
        to.query(now, request);
    }

    @Override
    public void clientLeft(long now, String request) {
        to.clientLeft(now, request);
    }

    @Override
    public void probed(long now, String worker, Outcome outcome, long tookNs, Map<String, Double> report) {
        to.probed(now, worker, outcome, tookNs, report);
    }

    @Override
    public void established(long now, String request, int attempt, String worker) {
        to.established(now, request, attempt, worker);
    }

    @Override
    public void inbox(long now, int peer, byte[] payload) {
        to.inbox(now, peer, payload);
    }

    @Override
    public void due(long now, String token) {
        to.due(now, token);
    }

    @Override
    public void completed(long now, Completion completion) {
        to.completed(now, completion);
    }

    @Override
    public void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs) {
        to.resident(now, worker, function, count, outcome, tookNs);
    }

    @Override
    public boolean believedWarm(long now, String function) {
        return to.believedWarm(now, function);
    }

    @Override
    public void expected(long now, Request request) {
        to.expected(now, request);
    }

    @Override
    public List<Belief> beliefs(long now, String function) {
        return to.beliefs(now, function);
    }
}

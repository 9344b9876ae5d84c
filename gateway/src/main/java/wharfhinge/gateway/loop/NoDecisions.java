package wharfhinge.gateway.loop;

import java.util.List;
import wharfhinge.Dispatcher;

/** Stands in while no dispatcher could be made: every call is refused at once, so that each still has its answer. */
final class NoDecisions implements Dispatcher {
    private final Actions actions;

    NoDecisions(Actions actions) {
        this.actions = actions;
    }

    @Override
    public void members(long now, ListMode mode, long revision, List<Worker> entries) {}

    @Override
    public void query(long now, Request request) {
        actions.refuse(request.id(), 0);
    }

    @Override
    public void clientLeft(long now, String request) {}

    @Override
    public void established(long now, String request, int attempt, String worker) {}

    @Override
    public void due(long now, String token) {}

    @Override
    public void completed(long now, Completion completion) {}

    @Override
    public void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs) {}
}

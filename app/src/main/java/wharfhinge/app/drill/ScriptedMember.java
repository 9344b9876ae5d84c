package wharfhinge.app.drill;

import wharfhinge.standin.WorkerModel;
import wharfhinge.standin.WorkerStandIn;

/** A worker that only plays figures. */
final class ScriptedMember implements Member {
    private final WorkerStandIn worker;
    private final WorkerModel model;

    ScriptedMember(WorkerStandIn worker) {
        this.worker = worker;
        this.model = worker.model();
    }

    @Override
    public String id() {
        return worker.id();
    }

    @Override
    public String boot() {
        return model.boot();
    }

    @Override
    public void kill() {
        worker.kill();
    }

    @Override
    public void restart() {
        worker.restart();
    }

    @Override
    public boolean suffers(String trouble) {
        return true;
    }

    @Override
    public void hang(boolean now) {
        model.hang(now);
    }

    @Override
    public void errors(double share) {
        model.errors(share);
    }

    @Override
    public void slower(double times) {
        model.slower(times);
    }

    @Override
    public void pause(long ms) {
        model.pause(ms);
    }

    @Override
    public void loseAnswers(double share, boolean byReset) {
        model.loseAnswers(share, byReset);
    }

    @Override
    public void slowHandshakes(long ms) {
        model.slowHandshakes(ms);
    }

    @Override
    public void flush(double share) {
        model.flush(share);
    }

    @Override
    public void close() {
        worker.close();
    }
}

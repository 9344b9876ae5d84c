package wharfhinge.app.drill;

import wharfhinge.standin.WorkerEmulator;
import wharfhinge.standin.WorkerModel;

/** An emulated worker: it loads and runs nothing, but answers by the figures of the scenario. */
final class EmulatedWorker implements DrillWorker {
    private final WorkerEmulator worker;
    private final WorkerModel model;

    EmulatedWorker(WorkerEmulator worker) {
        this.worker = worker;
        this.model = worker.model();
    }

    @Override
    public String id() {
        return worker.id();
    }

    @Override
    public String incarnation() {
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
    public boolean supports(String fault) {
        return true;
    }

    @Override
    public void hang(boolean on) {
        model.hang(on);
    }

    @Override
    public void failCalls(double share) {
        model.errors(share);
    }

    @Override
    public void slowDown(double factor) {
        model.slowDown(factor);
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
    public void invalidateFunctions(double share) {
        model.flush(share);
    }

    @Override
    public void close() {
        worker.close();
    }
}

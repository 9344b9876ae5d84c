package wharfhinge.app.drill;

import java.io.IOException;

/** A worker of a drill, emulated or a process, and the faults that can be injected into it. */
interface DrillWorker extends AutoCloseable {
    /** Its address, as {@code address:port}. */
    String id();

    /** The incarnation of the worker: names its current process. */
    String incarnation();

    /** Kills its process at once. */
    void kill() throws IOException, InterruptedException;

    /** Starts a new process under the same address. */
    void restart() throws IOException, InterruptedException;

    /** Whether a fault of this name can be injected into this worker. */
    boolean supports(String fault);

    /** Lets it accept calls but answer none, or ends that. */
    void hang(boolean on) throws IOException, InterruptedException;

    /** Lets this share of its calls fail. */
    void failCalls(double share) throws IOException;

    /** Lets calls run slower by this factor; 1 ends it. */
    void slowDown(double factor) throws IOException;

    /** Suspends it for this long. */
    void pause(long ms) throws IOException, InterruptedException;

    /** Lets this share of answers get lost after the call has run: as a stream reset, or as silence. */
    void loseAnswers(double share, boolean byReset);

    /** Delays the set-up of each new connection by this much. */
    void slowHandshakes(long ms);

    /** Invalidates this share of its functions, as new releases of them do. */
    void invalidateFunctions(double share);

    @Override
    void close() throws InterruptedException;
}

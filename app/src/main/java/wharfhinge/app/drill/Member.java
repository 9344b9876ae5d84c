package wharfhinge.app.drill;

import java.io.IOException;

/** A worker of a day, scripted or a process; the troubles that may befall it. */
interface Member extends AutoCloseable {
    /** {@code address:port}. */
    String id();

    /** Names its process. */
    String boot();

    /** Its process dies at once. */
    void kill() throws IOException, InterruptedException;

    /** A new process under the same address. */
    void restart() throws IOException, InterruptedException;

    /** Whether it can be made to suffer this. */
    boolean suffers(String trouble);

    /** Takes work and answers nothing, or goes on. */
    void hang(boolean now) throws IOException, InterruptedException;

    /** Fails this share of calls. */
    void errors(double share) throws IOException;

    /** Runs so many times slower. */
    void slower(double times) throws IOException;

    /** Stands still for a while. */
    void pause(long ms) throws IOException, InterruptedException;

    /** Does the work, but this share of answers never arrives. */
    void loseAnswers(double share, boolean byReset);

    /** New connections take so much longer. */
    void slowHandshakes(long ms);

    /** This share of its functions is released anew. */
    void flush(double share);

    @Override
    void close() throws InterruptedException;
}

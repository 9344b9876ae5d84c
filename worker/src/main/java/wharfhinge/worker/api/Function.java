package wharfhinge.worker.api;

/**
 * A function. The entry class of a package implements it and has a public constructor without parameters. Each copy has one
 * instance; {@link #call} runs concurrently on at most as many threads as the manifest's {@code lanes} states.
 *
 * <p>An exception thrown by {@link #call} fails that call; an {@link Error} also ends the copy, which is then replaced.
 */
public interface Function {
    /**
     * Initializes the copy; no call runs before it returns. The manifest's {@code start-ms} limits its time.
     *
     * @throws Exception if the copy cannot be initialized; the load then fails
     */
    default void start(CopyContext context) throws Exception {}

    /**
     * Runs a call. The manifest's {@code call-ms} limits its time; after that the call is given up and the copy is replaced.
     *
     * @return the body of the answer, not null
     * @throws Exception if the call fails; its effects are not rolled back
     */
    byte[] call(Invocation call) throws Exception;

    /** Called when the copy is unloaded. Threads started by the function must end now and must no longer access its memory. */
    default void stop() {}
}

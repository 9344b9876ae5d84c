package wharfhinge.worker.api;

/**
 * A function as its author writes it: the entry class of a package, with a public constructor that takes nothing. One object
 * for each copy; {@link #call} runs on as many threads at once as the package has lanes.
 *
 * <p>An exception from {@link #call} is an error of that call; an {@link Error} also ends the copy, which is replaced.
 */
public interface Function {
    /**
     * Makes the copy ready; until it returns no call comes. Limited by the package's {@code start-ms}.
     *
     * @throws Exception where the copy can't be made ready; the load has then failed
     */
    default void start(CopyContext context) throws Exception {}

    /**
     * Runs a call. Limited by the package's {@code call-ms}; past it the call is given up and the copy replaced.
     *
     * @return the answer's body, not null
     * @throws Exception where there is no answer; what was done is not undone
     */
    byte[] call(Invocation call) throws Exception;

    /** The copy is unloaded; threads of its own must end now, and its memory must not be touched any more. */
    default void stop() {}
}

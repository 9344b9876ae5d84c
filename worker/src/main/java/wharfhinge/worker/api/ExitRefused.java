package wharfhinge.worker.api;

/** Thrown when a function tries to end the process. Only its copy is ended; other copies are not affected. */
public final class ExitRefused extends Error {
    private static final long serialVersionUID = 1;

    private ExitRefused(int status) {
        super("exit with " + status + " was asked for");
    }

    /** Replaces {@link System#exit} in the code of functions. */
    public static void exit(int status) {
        throw new ExitRefused(status);
    }

    /** Replaces {@link Runtime#exit} and {@link Runtime#halt} in the code of functions. */
    public static void exit(Runtime runtime, int status) {
        throw new ExitRefused(status);
    }
}

package wharfhinge.worker.api;

/** A function asked for the end of the process. Its copy ends instead; the others go on. */
public final class ExitRefused extends Error {
    private static final long serialVersionUID = 1;

    private ExitRefused(int status) {
        super("exit with " + status + " was asked for");
    }

    /** In place of {@link System#exit}. */
    public static void exit(int status) {
        throw new ExitRefused(status);
    }

    /** In place of {@link Runtime#exit} and {@link Runtime#halt}. */
    public static void exit(Runtime runtime, int status) {
        throw new ExitRefused(status);
    }
}

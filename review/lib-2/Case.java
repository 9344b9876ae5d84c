import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case. Its exit codes are those that a JVM never has by itself; run.sh turns them into 0, 1 and 2. */
abstract class Case {
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int COULD_NOT_RUN = 12;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    Path temporary;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs from the project's root; the argument is the file of the record. */
    final void run(String record) {
        int code = COULD_NOT_RUN;
        try {
            Record.open(Path.of(record));
            temporary = Files.createTempDirectory("case-");
            Record.line("TROUBLE=%d", TROUBLE ? 1 : 0);
            code = play() ? HELD : BROKEN;
        } catch (CannotRun e) {
            Record.result("could not run: %s", e.getMessage());
        } catch (Exception e) {
            e.printStackTrace();
            Record.result("could not run: %s", e);
        }
        Record.result(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "no verdict");
        if (temporary != null) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> Dispatcher.deleteAll(temporary)));
        }
        System.exit(code);
    }
}

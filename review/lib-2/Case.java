import java.nio.file.Files;
import java.nio.file.Path;

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
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

    /** Runs from the project's root; the argument is the folder of the case. */
    final void run(String folder) {
        int code = 2;
        try {
            Record.open(Path.of(folder, "record.txt"));
            temporary = Files.createTempDirectory("case-");
            Record.line("TROUBLE=%d", TROUBLE ? 1 : 0);
            code = play() ? 0 : 1;
        } catch (CannotRun e) {
            Record.result("could not run: %s", e.getMessage());
        } catch (Exception e) {
            e.printStackTrace();
            Record.result("could not run: %s", e);
        }
        Record.result(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "no verdict");
        if (temporary != null) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> Dispatcher.deleteAll(temporary)));
        }
        System.exit(code);
    }
}

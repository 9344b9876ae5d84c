import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, one line each, with the milliseconds since the start of the record. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the record, on the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void line(String format, Object... arguments) {
        out.printf("%9.1f  %s%n", now(), String.format(format, arguments));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    static synchronized void result(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(format, arguments));
    }
}

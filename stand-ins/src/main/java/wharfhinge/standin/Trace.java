package wharfhinge.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Events that the emulators observed on their sockets. Each is a line of tab-separated fields: time in nanoseconds, event word, and
 * {@code name=value} pairs. Thread-safe. Lines are kept in the order of writing, which may differ from the order of their times.
 */
public final class Trace {
    private final LongSupplier clock;
    private final List<String> lines = new ArrayList<>();

    /** A trace whose writers share a clock. */
    public Trace(LongSupplier clock) {
        this.clock = clock;
    }

    /** Records an event; {@code pairs} alternates names and values. */
    public void note(String word, Object... pairs) {
        StringBuilder line =
                new StringBuilder(96).append(clock.getAsLong()).append('\t').append(word);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append('\t').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        String text = line.toString();
        synchronized (lines) {
            lines.add(text);
        }
    }

    /** Adds lines that another process recorded on the same clock. */
    public void addAll(List<String> recorded) {
        synchronized (lines) {
            lines.addAll(recorded);
        }
    }

    /** A copy of all lines recorded so far. */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /** Writes all lines to a file. */
    public void write(Path file) throws IOException {
        Files.write(file, lines(), StandardCharsets.UTF_8);
    }
}

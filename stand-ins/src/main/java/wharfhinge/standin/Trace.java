package wharfhinge.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What the stand-ins saw on their sockets: lines of a time in nanoseconds, a word, and pairs of a name and a value, set
 * apart by tabs. Any thread may write; lines stand in the order of writing, which may differ from that of their times.
 */
public final class Trace {
    private final LongSupplier clock;
    private final List<String> lines = new ArrayList<>();

    /** A record on a clock that all its writers share. */
    public Trace(LongSupplier clock) {
        this.clock = clock;
    }

    /** Notes something, with names and values in turn. */
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

    /** Takes lines that another process recorded on the same clock. */
    public void take(List<String> recorded) {
        synchronized (lines) {
            lines.addAll(recorded);
        }
    }

    /** All lines so far. */
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

package wharfhinge.config;

import java.util.Comparator;

/**
 * A fault in a configuration file. Ordered by position.
 *
 * @param line   line number from 1; 0 if the fault has no position
 * @param column column number from 1; 0 if the fault has no position
 * @param text   what was found and what is allowed
 */
public record Fault(int line, int column, String text) implements Comparable<Fault> {
    private static final Comparator<Fault> BY_POSITION =
            Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column);

    static Fault withoutPosition(String text) {
        return new Fault(0, 0, text);
    }

    boolean isAtPositionOf(Fault other) {
        return line == other.line && column == other.column;
    }

    @Override
    public int compareTo(Fault other) {
        return BY_POSITION.compare(this, other);
    }

    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ", column " + column + ": " : "") + text;
    }
}

package wharfhinge.config;

import java.util.Comparator;

/**
 * Something wrong in a file. Sorted by place.
 *
 * @param line   from 1; 0 where there is no place
 * @param column from 1; 0 where there is no place
 * @param text   what was found and what is allowed
 */
public record Fault(int line, int column, String text) implements Comparable<Fault> {
    private static final Comparator<Fault> BY_PLACE =
            Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column);

    static Fault withoutPlace(String text) {
        return new Fault(0, 0, text);
    }

    boolean isAtPlaceOf(Fault other) {
        return line == other.line && column == other.column;
    }

    @Override
    public int compareTo(Fault other) {
        return BY_PLACE.compare(this, other);
    }

    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ", column " + column + ": " : "") + text;
    }
}

package wharfhinge.config;

/** Something wrong in a file, with its place; lines and columns count from 1, 0 where there is no place. */
public record Fault(int line, int column, String text) implements Comparable<Fault> {

    @Override
    public int compareTo(Fault other) {
        return line != other.line ? Integer.compare(line, other.line) : Integer.compare(column, other.column);
    }

    @Override
    public String toString() {
        return (line > 0 ? "line " + line + ", column " + column + ": " : "") + text;
    }
}

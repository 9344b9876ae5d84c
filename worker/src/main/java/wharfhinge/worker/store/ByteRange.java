package wharfhinge.worker.store;

/**
 * The part of a file that a {@code Range} header requests.
 *
 * @param from first byte
 * @param to   last byte
 */
public record ByteRange(long from, long to) {
    private static final String UNIT = "bytes=";

    /** The whole file: the header is absent, malformed, in another unit or has several ranges (RFC 9110, 14.2). */
    public static final ByteRange WHOLE_FILE = new ByteRange(-1, -1);
    /** The header is well-formed, but the range starts after the end of the file: status 416. */
    public static final ByteRange UNSATISFIABLE = new ByteRange(-2, -2);

    /** Parses the value of a header, which may be null, for a file of {@code size} bytes. */
    public static ByteRange parse(String header, long size) {
        if (header == null || !header.startsWith(UNIT)) {
            return WHOLE_FILE;
        }
        String text = header.substring(UNIT.length()).strip();
        int dash = text.indexOf('-');
        if (dash < 0) {
            return WHOLE_FILE;
        }
        long from = parseNumber(text.substring(0, dash));
        long to = parseNumber(text.substring(dash + 1));
        if (from == MALFORMED || to == MALFORMED || from == ABSENT && to == ABSENT) {
            return WHOLE_FILE;
        }
        if (from == ABSENT) { // suffix range: the last "to" bytes
            return to == 0 || size == 0 ? UNSATISFIABLE : new ByteRange(Math.max(0, size - to), size - 1);
        }
        if (to != ABSENT && to < from) {
            return WHOLE_FILE;
        }
        return from >= size ? UNSATISFIABLE : new ByteRange(from, to == ABSENT ? size - 1 : Math.min(to, size - 1));
    }

    private static final long ABSENT = -1;
    private static final long MALFORMED = -2;

    private static long parseNumber(String digits) {
        if (digits.isEmpty()) {
            return ABSENT;
        }
        return digits.length() <= 18 && digits.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Long.parseLong(digits)
                : MALFORMED;
    }

    /** Number of bytes. */
    public long length() {
        return to - from + 1;
    }
}

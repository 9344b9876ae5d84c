package wharfhinge.adapter;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the values of one line in order; values are separated by single spaces, and {@code -} is an absent value. */
final class Fields {
    private final String line;
    private final long lineNumber;
    private int position;

    Fields(String line, long lineNumber) {
        this.line = line;
        this.lineNumber = lineNumber;
    }

    MalformedInputException malformed(String reason) {
        return new MalformedInputException(lineNumber, reason);
    }

    String text(String name) throws MalformedInputException {
        if (position > line.length()) {
            throw malformed("missing value: " + name);
        }
        int end = line.indexOf(' ', position);
        if (end < 0) {
            end = line.length();
        }
        if (end == position) {
            throw malformed("missing value: " + name);
        }
        String value = line.substring(position, end);
        position = end + 1;
        return value;
    }

    /** The value, or null if it is absent. */
    String optional(String name) throws MalformedInputException {
        String value = text(name);
        return value.equals("-") ? null : value;
    }

    /** The value, which must not be absent. */
    String required(String name) throws MalformedInputException {
        String value = optional(name);
        if (value == null) {
            throw malformed("absent value: " + name);
        }
        return value;
    }

    /** The remainder of the line, spaces included. */
    String rest(String name) throws MalformedInputException {
        if (position >= line.length()) {
            throw malformed("missing value: " + name);
        }
        String value = line.substring(position);
        position = line.length() + 1;
        return value;
    }

    /** Fails if the line has further values. */
    void expectEnd() throws MalformedInputException {
        if (position <= line.length()) {
            throw malformed("more values than expected");
        }
    }

    /** An integer, which must not be absent. */
    long longValue(String name) throws MalformedInputException {
        return parseLong(required(name), name);
    }

    /** An integer, or 0 if it is absent. */
    long longOrZero(String name) throws MalformedInputException {
        String value = optional(name);
        return value == null ? 0 : parseLong(value, name);
    }

    int intValue(String name) throws MalformedInputException {
        return toInt(longValue(name), name);
    }

    int intOrZero(String name) throws MalformedInputException {
        return toInt(longOrZero(name), name);
    }

    private int toInt(long value, String name) throws MalformedInputException {
        if (value != (int) value) {
            throw malformed("out of range: " + name);
        }
        return (int) value;
    }

    double doubleOrZero(String name) throws MalformedInputException {
        String value = optional(name);
        return value == null ? 0 : parseDouble(value, name);
    }

    boolean flag(String name) throws MalformedInputException {
        String value = required(name);
        if (!value.equals("0") && !value.equals("1")) {
            throw malformed("not 0 or 1: " + name);
        }
        return value.equals("1");
    }

    byte[] hex(String name) throws MalformedInputException {
        String value = optional(name);
        try {
            return value == null ? new byte[0] : HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw malformed("not hex digits: " + name);
        }
    }

    Map<String, Double> pairs(String name) throws MalformedInputException {
        String value = optional(name);
        if (value == null) {
            return Map.of();
        }
        Map<String, Double> pairs = new LinkedHashMap<>();
        int from = 0;
        while (from < value.length()) {
            int comma = value.indexOf(',', from);
            int to = comma < 0 ? value.length() : comma;
            int colon = value.indexOf(':', from);
            if (colon <= from || colon >= to) {
                throw malformed("not name:value pairs: " + name);
            }
            pairs.put(value.substring(from, colon), parseDouble(value.substring(colon + 1, to), name));
            from = to + 1;
        }
        return pairs;
    }

    private long parseLong(String value, String name) throws MalformedInputException {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("not a whole number: " + name);
        }
    }

    private double parseDouble(String value, String name) throws MalformedInputException {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported by the throw below
        }
        throw malformed("not a number: " + name);
    }
}

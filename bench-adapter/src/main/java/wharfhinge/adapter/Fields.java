package wharfhinge.adapter;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** The values of one line, taken in order; each is set apart from the next by one space. */
final class Fields {
    private final String line;
    private final long number;
    private int at;

    Fields(String line, long number) {
        this.line = line;
        this.number = number;
    }

    MalformedInputException bad(String reason) {
        return new MalformedInputException(number, reason);
    }

    String text(String name) throws MalformedInputException {
        if (at > line.length()) {
            throw bad("missing value: " + name);
        }
        int end = line.indexOf(' ', at);
        if (end < 0) {
            end = line.length();
        }
        if (end == at) {
            throw bad("missing value: " + name);
        }
        String value = line.substring(at, end);
        at = end + 1;
        return value;
    }

    /** The value, or null where it is absent. */
    String optional(String name) throws MalformedInputException {
        String value = text(name);
        return value.equals("-") ? null : value;
    }

    /** A value that has to stand. */
    String required(String name) throws MalformedInputException {
        String value = optional(name);
        if (value == null) {
            throw bad("absent value: " + name);
        }
        return value;
    }

    String rest(String name) throws MalformedInputException {
        if (at >= line.length()) {
            throw bad("missing value: " + name);
        }
        String value = line.substring(at);
        at = line.length() + 1;
        return value;
    }

    void end() throws MalformedInputException {
        if (at <= line.length()) {
            throw bad("more values than expected");
        }
    }

    /** A whole number that has to stand. */
    long whole(String name) throws MalformedInputException {
        return parseLong(required(name), name);
    }

    /** A whole number; 0 where it is absent. */
    long wholeOrZero(String name) throws MalformedInputException {
        String value = optional(name);
        return value == null ? 0 : parseLong(value, name);
    }

    int small(String name) throws MalformedInputException {
        return toInt(whole(name), name);
    }

    int smallOrZero(String name) throws MalformedInputException {
        return toInt(wholeOrZero(name), name);
    }

    private int toInt(long value, String name) throws MalformedInputException {
        if (value != (int) value) {
            throw bad("out of range: " + name);
        }
        return (int) value;
    }

    double numberOrZero(String name) throws MalformedInputException {
        String value = optional(name);
        return value == null ? 0 : parseDouble(value, name);
    }

    boolean flag(String name) throws MalformedInputException {
        String value = required(name);
        if (!value.equals("0") && !value.equals("1")) {
            throw bad("not 0 or 1: " + name);
        }
        return value.equals("1");
    }

    byte[] hex(String name) throws MalformedInputException {
        String value = optional(name);
        try {
            return value == null ? new byte[0] : HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw bad("not hex digits: " + name);
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
                throw bad("not name:value pairs: " + name);
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
            throw bad("not a whole number: " + name);
        }
    }

    private double parseDouble(String value, String name) throws MalformedInputException {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw bad("not a number: " + name);
    }
}

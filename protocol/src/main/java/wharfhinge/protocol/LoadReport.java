package wharfhinge.protocol;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** Codec of a worker's load report: {@code name:value} pairs separated by commas, such as {@code rif:7,x0:0.4}. */
public final class LoadReport {
    private static final int MAX_PAIRS = 8;
    private static final int MAX_LENGTH = 256;

    private LoadReport() {}

    /** Parses a report. An absent or malformed one counts as empty, since a report is only a hint. */
    public static Map<String, Double> parse(CharSequence text) {
        if (text == null || text.length() == 0 || text.length() > MAX_LENGTH) {
            return Map.of();
        }
        Map<String, Double> report = new LinkedHashMap<>();
        for (String pair : text.toString().split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 1 || report.size() == MAX_PAIRS) {
                return Map.of();
            }
            try {
                double value = Double.parseDouble(pair.substring(colon + 1));
                if (!Double.isFinite(value)) {
                    return Map.of();
                }
                report.put(pair.substring(0, colon), value);
            } catch (NumberFormatException e) {
                return Map.of();
            }
        }
        return Collections.unmodifiableMap(report);
    }

    /** Formats a report; values that are not whole are rounded to four decimals. */
    public static String format(Map<String, Double> report) {
        StringBuilder text = new StringBuilder();
        report.forEach((name, value) -> {
            text.append(text.length() > 0 ? "," : "").append(name).append(':');
            if (value == Math.rint(value) && Math.abs(value) < 1e15) {
                text.append((long) (double) value);
            } else {
                text.append(Math.rint(value * 1e4) / 1e4);
            }
        });
        return text.toString();
    }
}

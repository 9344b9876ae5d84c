package wharfhinge.protocol;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** The report of a worker's load: {@code name:value} pairs set apart by commas, such as {@code rif:7,x0:0.4}. */
public final class LoadReport {
    private static final int MOST_PAIRS = 8;
    private static final int MOST_LENGTH = 256;

    private LoadReport() {}

    /** Reads a report; one that is absent or not well formed is empty, for a report is advice, not an answer. */
    public static Map<String, Double> parse(CharSequence text) {
        if (text == null || text.length() == 0 || text.length() > MOST_LENGTH) {
            return Map.of();
        }
        Map<String, Double> report = new LinkedHashMap<>();
        for (String pair : text.toString().split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 1 || report.size() == MOST_PAIRS) {
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

    /** Writes a report. */
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

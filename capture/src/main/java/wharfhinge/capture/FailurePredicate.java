package wharfhinge.capture;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * A predicate on recorded frames, parsed from an expression: conditions joined by {@code and}. A condition is a kind of action, the
 * fields it must have and the minimum number of occurrences: {@code attempt worker=w1 >= 3 and refuse >= 1}. The fields are {@code
 * request}, {@code worker}, {@code function} and {@code text}; {@code *} in a value matches any characters. {@code threw >= 1} counts
 * the frames whose dispatcher threw.
 */
public final class FailurePredicate {
    private record Condition(String kind, List<String[]> fields, long minimum) {}

    private final List<Condition> conditions = new ArrayList<>();

    /** Parses an expression. @throws IllegalArgumentException names the malformed condition */
    public FailurePredicate(String expression) {
        for (String text : expression.strip().split("\\s+and\\s+")) {
            String[] operands = text.split(">=");
            String[] words = operands[0].strip().split("\\s+");
            List<String[]> fields = new ArrayList<>();
            for (int i = 1; i < words.length; i++) {
                String[] pair = words[i].split("=", 2);
                if (pair.length != 2
                        || !List.of("request", "worker", "function", "text").contains(pair[0])) {
                    throw invalid(text, words[i], "request=, worker=, function= or text=");
                }
                fields.add(pair);
            }
            String kind = words[0].toUpperCase(Locale.ROOT).replace('-', '_');
            boolean known = kind.equals("THREW");
            for (RecordedAction.Kind candidate : RecordedAction.Kind.values()) {
                known |= candidate.name().equals(kind);
            }
            if (!known) {
                throw invalid(text, words[0], "threw or one of " + List.of(RecordedAction.Kind.values()));
            }
            long minimum = 1;
            if (operands.length > 1) {
                if (!operands[1].strip().matches("[0-9]{1,9}")) {
                    throw invalid(text, operands[1], "a whole number");
                }
                minimum = Long.parseLong(operands[1].strip());
            }
            conditions.add(new Condition(kind, fields, minimum));
        }
    }

    private static IllegalArgumentException invalid(String condition, String found, String allowed) {
        return new IllegalArgumentException(
                "symptom, '" + condition.strip() + "': found '" + found.strip() + "', allowed: " + allowed);
    }

    /** Whether the actions of these frames meet every condition. */
    public boolean matches(List<Frame> frames) {
        return conditions.stream()
                .allMatch(t -> frames.stream().mapToLong(f -> count(f, t)).sum() >= t.minimum);
    }

    private static long count(Frame frame, Condition condition) {
        if (condition.kind.equals("THREW")) {
            return frame.thrown().isEmpty() ? 0 : 1;
        }
        return frame.acts().stream()
                .filter(a -> a.kind().name().equals(condition.kind)
                        && condition.fields.stream().allMatch(f -> hasField(a, f)))
                .count();
    }

    private static boolean hasField(RecordedAction act, String[] field) {
        String value =
                switch (field[0]) {
                    case "request" -> act.request();
                    case "worker" -> act.worker();
                    case "function" -> act.function();
                    default -> act.text();
                };
        return value.matches(Pattern.quote(field[1]).replace("*", "\\E.*\\Q"));
    }
}

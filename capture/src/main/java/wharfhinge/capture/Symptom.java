package wharfhinge.capture;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * What a run shows, as an expression: terms joined by {@code and}. A term is a kind of act with fields that it must have, and how
 * often it is wanted at least: {@code attempt worker=w1 >= 3 and refuse >= 1}. Fields: {@code request}, {@code worker}, {@code
 * function}, {@code text}; {@code *} in a value stands for anything. {@code threw >= 1} counts what was thrown.
 */
public final class Symptom {
    private record Term(String kind, List<String[]> fields, long least) {}

    private final List<Term> terms = new ArrayList<>();

    /** Reads an expression. @throws IllegalArgumentException names the term that is wrong */
    public Symptom(String expression) {
        for (String text : expression.strip().split("\\s+and\\s+")) {
            String[] sides = text.split(">=");
            String[] words = sides[0].strip().split("\\s+");
            List<String[]> fields = new ArrayList<>();
            for (int i = 1; i < words.length; i++) {
                String[] pair = words[i].split("=", 2);
                if (pair.length != 2
                        || !List.of("request", "worker", "function", "text").contains(pair[0])) {
                    throw wrong(text, words[i], "request=, worker=, function= or text=");
                }
                fields.add(pair);
            }
            String kind = words[0].toUpperCase(Locale.ROOT).replace('-', '_');
            boolean known = kind.equals("THREW");
            for (Act.Kind k : Act.Kind.values()) {
                known |= k.name().equals(kind);
            }
            if (!known) {
                throw wrong(text, words[0], "threw or one of " + List.of(Act.Kind.values()));
            }
            long least = 1;
            if (sides.length > 1) {
                if (!sides[1].strip().matches("[0-9]{1,9}")) {
                    throw wrong(text, sides[1], "a whole number");
                }
                least = Long.parseLong(sides[1].strip());
            }
            terms.add(new Term(kind, fields, least));
        }
    }

    private static IllegalArgumentException wrong(String term, String found, String allowed) {
        return new IllegalArgumentException(
                "symptom, '" + term.strip() + "': found '" + found.strip() + "', allowed: " + allowed);
    }

    /** Whether these frames' decisions show it. */
    public boolean shows(List<Frame> decided) {
        return terms.stream()
                .allMatch(t -> decided.stream().mapToLong(f -> count(f, t)).sum() >= t.least);
    }

    private static long count(Frame frame, Term term) {
        if (term.kind.equals("THREW")) {
            return frame.thrown().isEmpty() ? 0 : 1;
        }
        return frame.acts().stream()
                .filter(a -> a.kind().name().equals(term.kind)
                        && term.fields.stream().allMatch(f -> has(a, f)))
                .count();
    }

    private static boolean has(Act act, String[] field) {
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

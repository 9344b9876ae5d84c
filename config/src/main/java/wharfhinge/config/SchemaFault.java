package wharfhinge.config;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xml.sax.SAXParseException;

/** Converts the JDK's schema validation messages to the common form of faults: what was found and what is allowed. */
final class SchemaFault {
    /** A message of the JDK and its replacement, which may refer to groups of the pattern. */
    private record Rewrite(Pattern pattern, String replacement) {}

    private static final String SCHEMA_NAMESPACE = "\"?urn:[a-z:]+:\\d+\"?:";

    private static final List<Rewrite> REWRITES = List.of(
            rewrite("cvc-enumeration-valid: Value '(.*)' is not .*enumeration '\\[(.*)]'.*", "found '$1', allowed: $2"),
            rewrite(
                    "cvc-(?:min|max)(In|Ex)clusive-valid: Value '(.*)' is not .*(min|max)(?:In|Ex)clusive '(.*)' for.*",
                    "found '$2', allowed: $3imum $4 ($1clusive)"),
            rewrite(
                    "cvc-pattern-valid: Value '(.*)' is not .*pattern '(.*)' for.*",
                    "found '$1', allowed: a value that matches $2"),
            rewrite("cvc-datatype-valid.1.2.1: '(.*)' is not a valid value for '(.*)'.*", "found '$1', allowed: $2"),
            rewrite(
                    "cvc-complex-type.3.2.2: Attribute '(.*)' is not allowed to appear in element '(.*)'.*",
                    "found attribute '$1' in $2, allowed: the attributes that the schema declares"),
            rewrite(
                    "cvc-complex-type.4: Attribute '(.*)' must appear on element '(.*)'.*",
                    "found no attribute '$1' in $2, allowed: $2 with $1"),
            rewrite(
                    "cvc-complex-type.2.4.[a-z]+: Invalid content was found starting with element '\\{?([\\w-]+)}?'"
                            + ".*One of '\\{(.*)}' is expected.*",
                    "found element $1, allowed: $2"),
            rewrite(
                    "cvc-complex-type.2.4.[a-z]+: The content of element '(.*)' is not complete. One of '\\{(.*)}' is.*",
                    "found the end of $1, allowed: $2 before it"),
            rewrite(
                    "cvc-elt.1.a: Cannot find the declaration of element '(.*)'.*",
                    "found root element $1, allowed: the root element that the schema declares"));

    private SchemaFault() {}

    private static Rewrite rewrite(String pattern, String replacement) {
        return new Rewrite(Pattern.compile(pattern, Pattern.DOTALL), replacement);
    }

    static Fault of(SAXParseException e) {
        String message = e.getMessage().replaceAll(SCHEMA_NAMESPACE, "");
        for (Rewrite rewrite : REWRITES) {
            Matcher matcher = rewrite.pattern.matcher(message);
            if (matcher.matches()) {
                return new Fault(e.getLineNumber(), e.getColumnNumber(), matcher.replaceFirst(rewrite.replacement));
            }
        }
        return new Fault(e.getLineNumber(), e.getColumnNumber(), message);
    }

    /** The validator reports each invalid value twice, first the reason and then the attribute or element. */
    static boolean repeatsEarlierFault(SAXParseException e) {
        return e.getMessage().startsWith("cvc-attribute.3") || e.getMessage().startsWith("cvc-type.3.1.3");
    }
}

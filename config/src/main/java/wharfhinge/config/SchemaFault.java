package wharfhinge.config;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xml.sax.SAXParseException;

/** Puts the JDK's words on a broken schema rule into the form of all faults here: what was found, what is allowed. */
final class SchemaFault {
    private record Form(Pattern pattern, String text) {}

    private static final List<Form> FORMS = List.of(
            form("cvc-enumeration-valid: Value '(.*)' is not .*enumeration '\\[(.*)]'.*", "found '$1', allowed: $2"),
            form(
                    "cvc-(?:min|max)(In|Ex)clusive-valid: Value '(.*)' is not .*(min|max)(?:In|Ex)clusive '(.*)' for.*",
                    "found '$2', allowed: $3imum $4 ($1clusive)"),
            form(
                    "cvc-pattern-valid: Value '(.*)' is not .*pattern '(.*)' for.*",
                    "found '$1', allowed: what matches $2"),
            form("cvc-datatype-valid.1.2.1: '(.*)' is not a valid value for '(.*)'.*", "found '$1', allowed: $2"),
            form(
                    "cvc-complex-type.3.2.2: Attribute '(.*)' is not allowed to appear in element '(.*)'.*",
                    "found attribute '$1' in $2, allowed: the attributes that the schema names"),
            form(
                    "cvc-complex-type.4: Attribute '(.*)' must appear on element '(.*)'.*",
                    "found no attribute '$1' in $2, allowed: $2 with $1"),
            form(
                    "cvc-complex-type.2.4.[a-z]+: Invalid content was found starting with element '\\{?([\\w-]+)}?'"
                            + ".*One of '\\{(.*)}' is expected.*",
                    "found element $1, allowed: $2"),
            form(
                    "cvc-complex-type.2.4.[a-z]+: The content of element '(.*)' is not complete. One of '\\{(.*)}' is.*",
                    "found the end of $1, allowed: first $2"),
            form(
                    "cvc-elt.1.a: Cannot find the declaration of element '(.*)'.*",
                    "found root element $1, allowed: another"));

    private SchemaFault() {}

    private static Form form(String pattern, String text) {
        return new Form(Pattern.compile(pattern, Pattern.DOTALL), text);
    }

    static Fault of(SAXParseException e) {
        String text = e.getMessage().replaceAll("\"?urn:[a-z:]+:\\d+\"?:", "");
        for (Form form : FORMS) {
            Matcher matcher = form.pattern.matcher(text);
            if (matcher.matches()) {
                return new Fault(e.getLineNumber(), e.getColumnNumber(), matcher.replaceFirst(form.text));
            }
        }
        return new Fault(e.getLineNumber(), e.getColumnNumber(), text);
    }

    /** The validator tells each bad value twice: once why, once where. */
    static boolean saysTheSame(SAXParseException e) {
        return e.getMessage().startsWith("cvc-attribute.3") || e.getMessage().startsWith("cvc-type.3.1.3");
    }
}

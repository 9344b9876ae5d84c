package wharfhinge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares every value loaded from the samples and from two complete settings files with golden files. Values are identified by their
 * position and enum constants by their ordinal, so that renaming a record component or a constant does not change the golden files.
 */
class GatewayConfigGoldenTest {
    private static final Path SAMPLES = Path.of("../deploy/samples");
    private static final Pattern SCHEMA_NAME = Pattern.compile("<xs:(element|attribute) name=\"([^\"]+)\"");
    private static final Pattern FILE_ELEMENT = Pattern.compile("<([a-z][\\w-]*)");
    private static final Pattern FILE_ATTRIBUTE = Pattern.compile("\\s([a-z][\\w-]*)=\"");

    @ParameterizedTest
    @ValueSource(strings = {"loads-by-order", "loads-on-call", "silent-workers", "try"})
    void sample_loadsToRecordedValues(String name) throws Exception {
        assertMatchesGolden(name, SAMPLES.resolve(name + ".xml"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"every-setting", "required-settings"})
    void fileOfAllElements_loadsToRecordedValues(String name) throws Exception {
        assertMatchesGolden(name, resource(name + ".xml"));
    }

    @Test
    void contradictingFile_isRejectedWithRecordedFaults() throws Exception {
        Path file = resource("contradicting-settings.xml");
        InvalidConfigurationException rejection =
                assertThrows(InvalidConfigurationException.class, () -> GatewayConfig.load(file));
        String faults = rejection.faults().stream().map(fault -> fault + "\n").collect(Collectors.joining());
        assertEquals(resourceText("golden/contradicting-settings.txt"), faults);
    }

    @Test
    void everySettingFile_usesEachNameOfTheSchema() throws Exception {
        Set<String> known = new TreeSet<>();
        Matcher schemaNames = SCHEMA_NAME.matcher(resourceText("settings.xsd"));
        while (schemaNames.find()) {
            known.add(schemaNames.group(1) + " " + schemaNames.group(2));
        }
        String file = resourceText("every-setting.xml").replaceAll("(?s)<!--.*?-->|<\\?.*?\\?>", "");
        Set<String> used = new TreeSet<>();
        FILE_ELEMENT.matcher(file).results().forEach(match -> used.add("element " + match.group(1)));
        FILE_ATTRIBUTE.matcher(file).results().forEach(match -> used.add("attribute " + match.group(1)));
        used.remove("attribute xmlns");
        assertEquals(known, used);
    }

    private static void assertMatchesGolden(String name, Path file) throws Exception {
        StringBuilder dump = new StringBuilder();
        append(dump, "", GatewayConfig.load(file), file.toAbsolutePath().getParent());
        assertEquals(resourceText("golden/" + name + ".txt"), dump.toString());
    }

    private static void append(StringBuilder dump, String prefix, Object value, Path folder)
            throws ReflectiveOperationException {
        if (value instanceof Record recordValue) {
            int position = 0;
            for (RecordComponent component : recordValue.getClass().getRecordComponents()) {
                append(dump, prefix + "." + position, component.getAccessor().invoke(recordValue), folder);
                position++;
            }
        } else if (value instanceof Collection<?> elements) {
            int index = 0;
            for (Object element : elements) {
                append(dump, prefix + "[" + index + "]", element, folder);
                index++;
            }
            dump.append(prefix).append(" size ").append(elements.size()).append('\n');
        } else if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                append(dump, prefix + "{" + entry.getKey() + "}", entry.getValue(), folder);
            }
            dump.append(prefix).append(" size ").append(map.size()).append('\n');
        } else {
            dump.append(prefix).append(" = ").append(formatLeaf(value, folder)).append('\n');
        }
    }

    private static Object formatLeaf(Object value, Path folder) {
        if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        return value instanceof Path path ? "path " + folder.relativize(path) : value;
    }

    private static Path resource(String name) throws URISyntaxException {
        URL url = GatewayConfigGoldenTest.class.getResource(name);
        return Path.of(url.toURI());
    }

    private static String resourceText(String name) throws IOException {
        try (InputStream in = GatewayConfigGoldenTest.class.getResourceAsStream(name)) {
            return in == null ? "no resource " + name : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

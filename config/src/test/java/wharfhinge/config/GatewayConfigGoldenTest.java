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
 * Holds every value that the samples and two files of all settings load to. A value goes by its position, enums by their ordinal,
 * so that a renamed record component or constant changes nothing.
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
        assertEquals(text("golden/contradicting-settings.txt"), faults);
    }

    @Test
    void everySettingFile_usesEachNameOfTheSchema() throws Exception {
        Set<String> known = new TreeSet<>();
        Matcher names = SCHEMA_NAME.matcher(text("settings.xsd"));
        while (names.find()) {
            known.add(names.group(1) + " " + names.group(2));
        }
        String file = text("every-setting.xml").replaceAll("(?s)<!--.*?-->|<\\?.*?\\?>", "");
        Set<String> used = new TreeSet<>();
        FILE_ELEMENT.matcher(file).results().forEach(match -> used.add("element " + match.group(1)));
        FILE_ATTRIBUTE.matcher(file).results().forEach(match -> used.add("attribute " + match.group(1)));
        used.remove("attribute xmlns");
        assertEquals(known, used);
    }

    private static void assertMatchesGolden(String name, Path file) throws Exception {
        StringBuilder dump = new StringBuilder();
        append(dump, "", GatewayConfig.load(file), file.toAbsolutePath().getParent());
        assertEquals(text("golden/" + name + ".txt"), dump.toString());
    }

    private static void append(StringBuilder dump, String place, Object value, Path folder)
            throws ReflectiveOperationException {
        if (value instanceof Record whole) {
            int position = 0;
            for (RecordComponent component : whole.getClass().getRecordComponents()) {
                append(dump, place + "." + position, component.getAccessor().invoke(whole), folder);
                position++;
            }
        } else if (value instanceof Collection<?> all) {
            int index = 0;
            for (Object one : all) {
                append(dump, place + "[" + index + "]", one, folder);
                index++;
            }
            dump.append(place).append(" size ").append(all.size()).append('\n');
        } else if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                append(dump, place + "{" + entry.getKey() + "}", entry.getValue(), folder);
            }
            dump.append(place).append(" size ").append(map.size()).append('\n');
        } else {
            dump.append(place).append(" = ").append(leaf(value, folder)).append('\n');
        }
    }

    private static Object leaf(Object value, Path folder) {
        if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        return value instanceof Path path ? "path " + folder.relativize(path) : value;
    }

    private static Path resource(String name) throws URISyntaxException {
        URL url = GatewayConfigGoldenTest.class.getResource(name);
        return Path.of(url.toURI());
    }

    private static String text(String name) throws IOException {
        try (InputStream in = GatewayConfigGoldenTest.class.getResourceAsStream(name)) {
            return in == null ? "no resource " + name : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

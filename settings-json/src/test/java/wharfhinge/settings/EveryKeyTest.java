package wharfhinge.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the keys and enum words of the settings' JSON form: each key of the golden file must set the component it belongs to. */
class EveryKeyTest {
    private static final Path GOLDEN = Path.of("src/test/resources/wharfhinge/settings");

    @Test
    void everyKeyAndWord_reachesItsComponent() throws Exception {
        List<String> actual = new ArrayList<>();
        for (JsonElement settings : JsonParser.parseString(Files.readString(GOLDEN.resolve("every-key.json")))
                .getAsJsonArray()) {
            actual.add(values(SettingsJson.parse(settings)));
        }
        assertEquals(Files.readAllLines(GOLDEN.resolve("every-key.values")), actual);
    }

    /** The values of a record in the order of its components, without their names; for an enum constant, its ordinal. */
    private static String values(Object value) throws ReflectiveOperationException {
        if (value instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            for (Object part : list) {
                parts.add(values(part));
            }
            return parts.toString();
        }
        if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        if (!(value instanceof Record)) {
            return String.valueOf(value);
        }
        List<String> parts = new ArrayList<>();
        for (RecordComponent component : value.getClass().getRecordComponents()) {
            parts.add(values(component.getAccessor().invoke(value)));
        }
        return parts.toString();
    }
}

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

/** Holds the keys and words of the settings' JSON form: each key of the golden file reaches the component in its place. */
class EveryKeyTest {
    private static final Path GOLDEN = Path.of("src/test/resources/wharfhinge/settings");

    @Test
    void everyKeyAndWord_reachesItsComponent() throws Exception {
        List<String> read = new ArrayList<>();
        for (JsonElement settings : JsonParser.parseString(Files.readString(GOLDEN.resolve("every-key.json")))
                .getAsJsonArray()) {
            read.add(values(SettingsJson.parse(settings)));
        }
        assertEquals(Files.readAllLines(GOLDEN.resolve("every-key.values")), read);
    }

    /** The values of a record in the order of its components, without their names; of a constant its place among its kind. */
    private static String values(Object of) throws ReflectiveOperationException {
        if (of instanceof List<?> list) {
            List<String> parts = new ArrayList<>();
            for (Object part : list) {
                parts.add(values(part));
            }
            return parts.toString();
        }
        if (of instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        if (!(of instanceof Record)) {
            return String.valueOf(of);
        }
        List<String> parts = new ArrayList<>();
        for (RecordComponent component : of.getClass().getRecordComponents()) {
            parts.add(values(component.getAccessor().invoke(of)));
        }
        return parts.toString();
    }
}

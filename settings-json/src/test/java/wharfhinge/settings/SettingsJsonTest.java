package wharfhinge.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonParseException;
import org.junit.jupiter.api.Test;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;

class SettingsJsonTest {
    @Test
    void parse_readsEnumsAndNumbersAndIgnoresUnknownKeys() {
        DispatcherSettings settings =
                SettingsJson.parse("{\"group_size\":3,\"discovery\":\"on_request\",\"unknown\":{\"a\":1},"
                        + "\"classes\":[{\"name\":\"a\",\"effect\":\"at_most_once\",\"hard_limit_ns\":2500000000}],"
                        + "\"limits\":{\"retry_after\":true}}");
        assertEquals(Discovery.ON_REQUEST, settings.discovery());
        assertEquals(Effect.AT_MOST_ONCE, settings.classes().get(0).effect());
        assertEquals(2_500_000_000L, settings.classes().get(0).maxDeadlineNanos());
        assertEquals(3, settings.groupSize());
        assertEquals(true, settings.limits().retryAfter());
        assertEquals(null, settings.prices());
    }

    @Test
    void unknownEnumWord_isNamedInTheMessage() {
        JsonParseException e =
                assertThrows(JsonParseException.class, () -> SettingsJson.parse("{\"discovery\":\"guessed\"}"));
        assertEquals("unknown word guessed", e.getMessage());
    }
}

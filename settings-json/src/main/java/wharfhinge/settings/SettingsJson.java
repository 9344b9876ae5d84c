package wharfhinge.settings;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonDeserializer;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import java.lang.reflect.Field;
import java.util.Locale;
import java.util.regex.Pattern;
import wharfhinge.policy.DeduplicationScope;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;
import wharfhinge.policy.LoadReporting;
import wharfhinge.policy.OnMissBehavior;
import wharfhinge.policy.PriorityUnit;
import wharfhinge.policy.WeightReporting;

/**
 * The JSON form of {@link DispatcherSettings}: names of {@link StoredNames} in lower case with underscores, enums as words, times in
 * nanoseconds. Unknown keys are ignored, absent ones are 0, false or null. Safe for use by several threads.
 */
public final class SettingsJson {
    private static final Pattern UPPER_CASE = Pattern.compile("(?<=[^A-Z_])(?=[A-Z])");

    private static final Gson GSON = new GsonBuilder()
            .setFieldNamingStrategy(SettingsJson::key)
            .registerTypeAdapter(Effect.class, word(Effect.class))
            .registerTypeAdapter(DeduplicationScope.class, word(DeduplicationScope.class))
            .registerTypeAdapter(Discovery.class, word(Discovery.class))
            .registerTypeAdapter(OnMissBehavior.class, word(OnMissBehavior.class))
            .registerTypeAdapter(LoadReporting.class, word(LoadReporting.class))
            .registerTypeAdapter(WeightReporting.class, word(WeightReporting.class))
            .registerTypeAdapter(PriorityUnit.class, word(PriorityUnit.class))
            .create();

    private SettingsJson() {}

    private static String key(Field component) {
        String stored = StoredNames.key(component.getDeclaringClass(), component.getName());
        return UPPER_CASE.matcher(stored).replaceAll("_").toLowerCase(Locale.ROOT);
    }

    private static <E extends Enum<E>> JsonDeserializer<E> word(Class<E> type) {
        return (json, of, context) -> {
            try {
                return StoredNames.constant(type, json.getAsString().toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new JsonParseException("unknown word " + json.getAsString());
            }
        };
    }

    /**
     * Reads settings from text; null for an empty text.
     *
     * @throws JsonParseException names what can't be read
     */
    public static DispatcherSettings parse(String json) {
        return GSON.fromJson(json, DispatcherSettings.class);
    }

    /**
     * Reads settings from a part of a larger JSON.
     *
     * @throws JsonParseException names what can't be read
     */
    public static DispatcherSettings parse(JsonElement json) {
        return GSON.fromJson(json, DispatcherSettings.class);
    }
}

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
 * Parses the JSON form of {@link DispatcherSettings}: keys are the names of {@link StoredNames} in lower case with underscores, enum
 * constants are their stored words in lower case, times are in nanoseconds. Unknown keys are ignored; absent values are 0, false or
 * null. Safe for use by several threads.
 */
public final class SettingsJson {
    private static final Pattern UPPER_CASE = Pattern.compile("(?<=[^A-Z_])(?=[A-Z])");

    private static final Gson GSON = new GsonBuilder()
            .setFieldNamingStrategy(SettingsJson::key)
            .registerTypeAdapter(Effect.class, enumDeserializer(Effect.class))
            .registerTypeAdapter(DeduplicationScope.class, enumDeserializer(DeduplicationScope.class))
            .registerTypeAdapter(Discovery.class, enumDeserializer(Discovery.class))
            .registerTypeAdapter(OnMissBehavior.class, enumDeserializer(OnMissBehavior.class))
            .registerTypeAdapter(LoadReporting.class, enumDeserializer(LoadReporting.class))
            .registerTypeAdapter(WeightReporting.class, enumDeserializer(WeightReporting.class))
            .registerTypeAdapter(PriorityUnit.class, enumDeserializer(PriorityUnit.class))
            .create();

    private SettingsJson() {}

    private static String key(Field component) {
        String stored = StoredNames.key(component.getDeclaringClass(), component.getName());
        return UPPER_CASE.matcher(stored).replaceAll("_").toLowerCase(Locale.ROOT);
    }

    private static <E extends Enum<E>> JsonDeserializer<E> enumDeserializer(Class<E> type) {
        return (json, targetType, context) -> {
            try {
                return StoredNames.constant(type, json.getAsString().toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new JsonParseException("unknown word " + json.getAsString());
            }
        };
    }

    /**
     * Parses settings; returns null for an empty text.
     *
     * @throws JsonParseException if the text can't be parsed; the message names the fault
     */
    public static DispatcherSettings parse(String json) {
        return GSON.fromJson(json, DispatcherSettings.class);
    }

    /**
     * Parses settings that are part of a larger JSON document.
     *
     * @throws JsonParseException if the element can't be parsed; the message names the fault
     */
    public static DispatcherSettings parse(JsonElement json) {
        return GSON.fromJson(json, DispatcherSettings.class);
    }
}

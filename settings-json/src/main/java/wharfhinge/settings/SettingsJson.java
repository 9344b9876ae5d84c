package wharfhinge.settings;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonDeserializer;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import java.util.Locale;
import wharfhinge.Dispatcher;

/**
 * The JSON form of {@link Dispatcher.Settings}: names in lower case with underscores, enums as words, times in nanoseconds. Unknown
 * keys are ignored, absent ones are 0, false or null. Safe for use by several threads.
 */
public final class SettingsJson {
    private static final Gson GSON = new GsonBuilder()
            .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES)
            .registerTypeAdapter(Dispatcher.Effect.class, word(Dispatcher.Effect.class))
            .registerTypeAdapter(Dispatcher.Group.class, word(Dispatcher.Group.class))
            .registerTypeAdapter(Dispatcher.Discovery.class, word(Dispatcher.Discovery.class))
            .registerTypeAdapter(Dispatcher.NotLoaded.class, word(Dispatcher.NotLoaded.class))
            .registerTypeAdapter(Dispatcher.Reports.class, word(Dispatcher.Reports.class))
            .registerTypeAdapter(Dispatcher.Weights.class, word(Dispatcher.Weights.class))
            .registerTypeAdapter(Dispatcher.WorthBy.class, word(Dispatcher.WorthBy.class))
            .create();

    private SettingsJson() {}

    private static <E extends Enum<E>> JsonDeserializer<E> word(Class<E> type) {
        return (json, of, context) -> {
            try {
                return Enum.valueOf(type, json.getAsString().toUpperCase(Locale.ROOT));
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
    public static Dispatcher.Settings parse(String json) {
        return GSON.fromJson(json, Dispatcher.Settings.class);
    }

    /**
     * Reads settings from a part of a larger JSON.
     *
     * @throws JsonParseException names what can't be read
     */
    public static Dispatcher.Settings parse(JsonElement json) {
        return GSON.fromJson(json, Dispatcher.Settings.class);
    }
}

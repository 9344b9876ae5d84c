package wharfhinge.capture;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategy;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.introspect.AnnotatedField;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.settings.StoredNames;

/** Converts frames to and from lines of JSON, as in decision logs and fixtures. Equal frames give equal lines. */
public final class FrameJson {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .propertyNamingStrategy(new StoredKeys())
            .addModule(storedWords())
            .build();

    static {
        JSON.registerSubtypes(Event.class.getPermittedSubclasses());
    }

    private FrameJson() {}

    private static SimpleModule storedWords() {
        SimpleModule module = new SimpleModule("stored words");
        addEnum(module, Outcome.class);
        addEnum(module, Availability.class);
        addEnum(module, EndpointUpdateMode.class);
        addEnum(module, CacheStatus.class);
        return module;
    }

    private static <E extends Enum<E>> void addEnum(SimpleModule module, Class<E> type) {
        module.addSerializer(type, new StdSerializer<E>(type) {
            @Override
            public void serialize(E constant, JsonGenerator to, SerializerProvider provider) throws IOException {
                to.writeString(StoredNames.word(constant));
            }
        });
        module.addDeserializer(type, new StdDeserializer<E>(type) {
            @Override
            public E deserialize(JsonParser from, DeserializationContext context) throws IOException {
                try {
                    return StoredNames.constant(type, from.getText());
                } catch (IllegalArgumentException e) {
                    throw new JsonMappingException(from, e.getMessage(), e);
                }
            }
        });
    }

    /** Names the components of records as {@link StoredNames} does. */
    private static final class StoredKeys extends PropertyNamingStrategy {
        @Override
        public String nameForField(MapperConfig<?> config, AnnotatedField field, String name) {
            return StoredNames.key(field.getDeclaringClass(), name);
        }

        @Override
        public String nameForGetterMethod(MapperConfig<?> config, AnnotatedMethod method, String name) {
            return StoredNames.key(method.getDeclaringClass(), name);
        }

        @Override
        public String nameForConstructorParameter(MapperConfig<?> config, AnnotatedParameter parameter, String name) {
            return StoredNames.key(parameter.getDeclaringClass(), name);
        }
    }

    /** Writes a frame as one line. */
    public static String line(Frame frame) {
        return json(frame);
    }

    /** Parses the frame of a line. @throws IOException if the line is not a frame */
    public static Frame frame(String line) throws IOException {
        return JSON.readValue(line, Frame.class);
    }

    static String json(Object value) {
        try {
            return JSON.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static DispatcherSettings settings(String json) throws IOException {
        return JSON.readValue(json, DispatcherSettings.class);
    }

    /** Parses all frames of a fixture; lines that begin with {@code #} are comments. */
    public static List<Frame> fixture(List<String> lines) throws IOException {
        List<Frame> frames = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (!lines.get(i).startsWith("#") && !lines.get(i).isBlank()) {
                try {
                    frames.add(frame(lines.get(i)));
                } catch (JsonProcessingException e) {
                    throw new IOException("line " + (i + 1) + ": " + e.getOriginalMessage());
                }
            }
        }
        return frames;
    }
}

package wharfhinge.capture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import wharfhinge.Dispatcher.Settings;

/** Frames as lines of JSON: what decision logs and fixtures hold. The same frame gives the same line. */
public final class Text {
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();

    static {
        JSON.registerSubtypes(Event.class.getPermittedSubclasses());
    }

    private Text() {}

    /** A frame as a line. */
    public static String line(Frame frame) {
        return json(frame);
    }

    /** The frame of a line. @throws IOException where it is none */
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

    static Settings settings(String json) throws IOException {
        return JSON.readValue(json, Settings.class);
    }

    /** All frames of a fixture; lines that begin with {@code #} say what it is about. */
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

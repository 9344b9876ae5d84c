package wharfhinge.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.Map;
import wharfhinge.capture.CaptureWriter;
import wharfhinge.capture.HashedNames;
import wharfhinge.capture.Recorder;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;

/** Decisions whose every event and action is captured on disk; the loop is never held up by it. */
final class CapturedDecisions implements DispatcherFactory, AutoCloseable {
    private static final int LEAST_KEY = 16;

    private final DispatcherFactory decisions;
    private final CaptureWriter writer;
    private final byte[] key; // null where names stand as they are
    private Recorder recorder;
    private int lives;

    CapturedDecisions(DispatcherFactory decisions, String gateway, GatewayConfig.Capture settings) {
        this.decisions = decisions;
        try {
            this.key = settings.hashKey() == null ? null : Files.readAllBytes(settings.hashKey());
            if (key != null && key.length < LEAST_KEY) {
                throw new IOException(settings.hashKey() + ": found a key of " + key.length + " bytes, allowed: "
                        + LEAST_KEY + " or more");
            }
            this.writer = new CaptureWriter(
                    settings.folder(),
                    gateway,
                    settings.segmentBytes(),
                    settings.mostBytes(),
                    settings.mostAgeMillis(),
                    key != null);
        } catch (IOException e) {
            throw new UncheckedIOException("capture into " + settings.folder() + ": " + e.getMessage(), e);
        }
    }

    @Override
    public Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        if (key == null) {
            return recorded(now, seed, settings, actions);
        }
        return HashedNames.before(this::recorded, key, now, seed, settings, actions);
    }

    private Dispatcher recorded(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        recorder = new Recorder(decisions::create, now, lives++, seed, settings, actions, writer);
        return recorder;
    }

    @Override
    public void onRequestNamed(long now, String id, String outer) {
        if (recorder != null) {
            recorder.named(now, id, outer);
        }
    }

    void into(Map<String, Long> figures) {
        CaptureWriter.Figures f = writer.figures();
        figures.put("capture_frames", f.frames());
        figures.put("capture_lost", f.lost());
        figures.put("capture_bytes", f.bytes());
        figures.put("capture_segments", f.segments());
    }

    @Override
    public void close() throws InterruptedException {
        writer.close();
    }
}

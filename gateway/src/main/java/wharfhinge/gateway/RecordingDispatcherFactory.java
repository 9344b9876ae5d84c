package wharfhinge.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import wharfhinge.capture.CaptureWriter;
import wharfhinge.capture.HashedNames;
import wharfhinge.capture.Recorder;
import wharfhinge.config.GatewayConfig;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;

/**
 * Creates dispatchers whose events and actions are all captured on disk. The capture writer has its own thread, so the event loop never
 * waits for it. All methods except {@link #addMetricsTo} and {@link #close} are called on the event loop.
 */
final class RecordingDispatcherFactory implements DispatcherFactory, AutoCloseable {
    private static final int MIN_HASH_KEY_BYTES = 16;

    private final DispatcherFactory delegate;
    private final CaptureWriter writer;
    private final Optional<byte[]> hashKey; // if empty, names are recorded unhashed
    private Recorder recorder; // of the newest dispatcher; null before the first
    private int incarnations;

    /** Captures the events and actions of the dispatchers that {@code delegate} creates. */
    RecordingDispatcherFactory(DispatcherFactory delegate, String gateway, GatewayConfig.Capture settings) {
        this.delegate = delegate;
        try {
            this.hashKey = settings.hashKey() == null ? Optional.empty() : Optional.of(readHashKey(settings.hashKey()));
            this.writer = new CaptureWriter(
                    settings.folder(),
                    gateway,
                    settings.segmentBytes(),
                    settings.maxBytes(),
                    settings.maxAgeMillis(),
                    hashKey.isPresent());
        } catch (IOException e) {
            throw new GatewayStartException("capture into " + settings.folder() + ": " + e.getMessage(), e);
        }
    }

    private static byte[] readHashKey(Path file) throws IOException {
        byte[] key = Files.readAllBytes(file);
        if (key.length < MIN_HASH_KEY_BYTES) {
            throw new IOException(
                    file + ": found a key of " + key.length + " bytes, allowed: " + MIN_HASH_KEY_BYTES + " or more");
        }
        return key;
    }

    @Override
    public Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        return hashKey.isEmpty()
                ? createRecorder(now, seed, settings, actions)
                : HashedNames.wrap(this::createRecorder, hashKey.get(), now, seed, settings, actions);
    }

    private Dispatcher createRecorder(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        recorder = new Recorder(delegate::create, now, incarnations++, seed, settings, actions, writer);
        return recorder;
    }

    @Override
    public void onRequestNamed(long now, String id, String outerId) {
        if (recorder != null) {
            recorder.named(now, id, outerId);
        }
    }

    /** Adds the capture metrics. Safe for use by any thread. */
    void addMetricsTo(Map<String, Long> metrics) {
        CaptureWriter.Statistics statistics = writer.statistics();
        metrics.put("capture_frames", statistics.frames());
        metrics.put("capture_lost", statistics.lost());
        metrics.put("capture_bytes", statistics.bytes());
        metrics.put("capture_segments", statistics.segments());
    }

    @Override
    public void close() throws InterruptedException {
        writer.close();
    }
}

package wharfhinge.gateway.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterFrame;

/**
 * Stores the newest endpoint list in a file, so that a restarted gateway can serve before the endpoint service answers.
 *
 * <p>A list is written to a temporary file, synced to disk and renamed over the snapshot, so that a crash leaves the old list or the new
 * one. A writer thread always writes the newest list and skips superseded ones. A failed write (ENOSPC, EIO) is retried with the newest
 * list until it succeeds. Thread-safe: the list is guarded by this object's monitor.
 *
 * <p>Within a process, ages are measured by a clock that follows the monotonic one. Across a restart only the wall clock is available. If
 * it was stepped forward, workers that had just started count as warm until the endpoint service answers.
 */
public final class EndpointSnapshotFile implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointSnapshotFile.class);
    private static final long CLOSE_TIMEOUT_SECONDS = 2;
    private static final long RETRY_MILLIS = 1000;

    /** An entry and the Unix time at which it was received; a stored age adds the time since then. */
    private record ReceivedEntry(RosterEntry entry, long receivedAtMillis) {}

    private final Path file;
    private final LongSupplier wallMillis;
    private final ScheduledThreadPoolExecutor writer;
    private final AtomicBoolean writeScheduled = new AtomicBoolean();
    private final Map<String, ReceivedEntry> entries = new LinkedHashMap<>();
    private long revision;
    private boolean isFailing; // confined to the writer thread
    private volatile int failedWrites; // written only by the writer thread

    /** Stores the list in {@code file}. {@code wallMillis} is Unix time, which should advance with the monotonic clock. */
    public EndpointSnapshotFile(Path file, LongSupplier wallMillis) {
        this.file = file;
        this.wallMillis = wallMillis;
        this.writer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "endpoint-snapshot");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Reads the stored list and adds the time since the write to the entries' ages. Empty if the file is missing or malformed. */
    public synchronized Optional<EndpointUpdate> read() {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            EndpointSnapshotCodec.Snapshot stored = EndpointSnapshotCodec.decode(Files.readAllBytes(file));
            long elapsedMillis = Math.max(0, wallMillis.getAsLong() - stored.writtenAtMillis());
            List<RosterEntry> agedEntries = stored.list().entries().stream()
                    .map(entry -> withElapsedAge(entry, elapsedMillis))
                    .toList();
            EndpointUpdate update = new EndpointUpdate(
                    EndpointUpdateMode.SNAPSHOT, stored.list().revision(), agedEntries);
            apply(update);
            return Optional.of(update);
        } catch (IOException | MalformedSnapshotException e) {
            LOG.warn("endpoint snapshot {}: ignored: {}", file, e.getMessage());
            return Optional.empty();
        }
    }

    /** Merges an update and schedules a write. */
    public synchronized void onEndpointUpdate(EndpointUpdate update) {
        if (update.mode() == EndpointUpdateMode.REJECTED) {
            return;
        }
        apply(update);
        scheduleWrite(0);
    }

    private void scheduleWrite(long delayMillis) {
        if (!writer.isShutdown() && writeScheduled.compareAndSet(false, true)) {
            writer.schedule(this::write, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void apply(EndpointUpdate update) {
        revision = update.revision();
        if (update.mode() != EndpointUpdateMode.INCREMENTAL) {
            entries.clear();
        }
        for (RosterEntry entry : update.entries()) {
            if (entry.state() == RosterEntry.State.GONE) {
                entries.remove(entry.id());
            } else {
                entries.put(entry.id(), new ReceivedEntry(entry, wallMillis.getAsLong()));
            }
        }
    }

    private static RosterEntry withElapsedAge(RosterEntry entry, long elapsedMillis) {
        long ageMillis = entry.ageMillis() == RosterEntry.UNKNOWN_AGE
                ? RosterEntry.UNKNOWN_AGE
                : entry.ageMillis() + elapsedMillis;
        return new RosterEntry(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                entry.state(),
                entry.weight(),
                ageMillis,
                entry.boot());
    }

    /** Encodes the newest list. Updates from now on schedule another write. */
    private synchronized byte[] encode() {
        writeScheduled.set(false);
        long now = wallMillis.getAsLong();
        List<RosterEntry> agedEntries = entries.values().stream()
                .map(received -> withElapsedAge(received.entry(), Math.max(0, now - received.receivedAtMillis())))
                .toList();
        RosterFrame list = new RosterFrame(RosterFrame.Kind.ALL, 0, revision, agedEntries);
        return EndpointSnapshotCodec.encode(new EndpointSnapshotCodec.Snapshot(now, list));
    }

    private void write() {
        byte[] bytes = encode();
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            writeAndSync(temporary, bytes);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            onWritten();
        } catch (IOException e) {
            onWriteFailed(e);
        }
    }

    private void onWritten() {
        if (isFailing) {
            LOG.info("endpoint snapshot {}: written again", file);
        }
        isFailing = false;
    }

    private void onWriteFailed(IOException cause) {
        if (!isFailing) {
            LOG.warn("endpoint snapshot {}: write failed, repeated until it succeeds: {}", file, cause.toString());
        }
        isFailing = true;
        failedWrites++;
        scheduleWrite(RETRY_MILLIS);
    }

    /** Returns the number of failed writes. Safe for use by any thread. */
    int failedWrites() {
        return failedWrites;
    }

    private static void writeAndSync(Path target, byte[] bytes) throws IOException {
        try (FileChannel channel = FileChannel.open(
                target, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
            channel.force(true);
        }
    }

    /** Completes a scheduled write or retry, within a time-out, and stops the writer. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package wharfhinge.gateway.discovery;

import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.ProtocolException;
import wharfhinge.protocol.RosterDecoder;
import wharfhinge.protocol.RosterEntry;
import wharfhinge.protocol.RosterFrame;

/**
 * The last list, kept in a file. Written whole to a file beside it, forced to disk and renamed over, so that a crash
 * leaves the old or the new one; a checksum finds one that is damaged all the same. Writing has a thread of its own and
 * skips lists that a newer one has overtaken.
 */
public final class RememberedList implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RememberedList.class);
    private static final String MAGIC = "wharfhinge-list 1";

    private final Path file;
    private final LongSupplier wallMillis;
    private final ExecutorService writer;
    private final AtomicBoolean due = new AtomicBoolean();
    private final Map<String, RosterEntry> entries = new LinkedHashMap<>();
    private final Map<String, Long> toldAt = new LinkedHashMap<>();
    private long revision;

    /** Keeps its list in {@code file}; {@code wallMs} is the wall clock, the only one that outlives a process. */
    public RememberedList(Path file, LongSupplier wallMillis) {
        this.file = file;
        this.wallMillis = wallMillis;
        this.writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "remembered-list");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** The list as last held; empty where there is none or it is damaged, which is logged. */
    public synchronized Optional<EndpointUpdate> read() {
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            byte[] bytes = Files.readAllBytes(file);
            int line = 0;
            while (line < bytes.length && bytes[line] != '\n') {
                line++;
            }
            String[] head = new String(bytes, 0, line, StandardCharsets.UTF_8).split(" ");
            if (line == bytes.length || head.length != 4 || !(head[0] + ' ' + head[1]).equals(MAGIC)) {
                throw new IOException("its first line is not '" + MAGIC + "', a time and a checksum");
            }
            CRC32C sum = new CRC32C();
            sum.update(bytes, line + 1, bytes.length - line - 1);
            if (!head[3].equals(Long.toHexString(sum.getValue()))) {
                throw new IOException("its checksum is wrong: torn or damaged");
            }
            long passed = Math.max(0, wallMillis.getAsLong() - Long.parseLong(head[2]));
            List<RosterFrame> frames = new ArrayList<>();
            new RosterDecoder().decode(Unpooled.wrappedBuffer(bytes, line + 1, bytes.length - line - 1), frames::add);
            if (frames.size() != 1) {
                throw new IOException("it holds " + frames.size() + " lists");
            }
            List<RosterEntry> aged =
                    frames.get(0).entries().stream().map(e -> aged(e, passed)).toList();
            EndpointUpdate update = new EndpointUpdate(
                    EndpointUpdateMode.SNAPSHOT, frames.get(0).revision(), aged);
            take(update);
            return Optional.of(update);
        } catch (IOException | ProtocolException | NumberFormatException e) {
            LOG.warn("the remembered list {} is left out: {}", file, e.getMessage());
            return Optional.empty();
        }
    }

    /** Takes news of the fleet and has the list written soon. */
    public synchronized void update(EndpointUpdate update) {
        if (update.mode() == EndpointUpdateMode.REJECTED) {
            return;
        }
        take(update);
        if (due.compareAndSet(false, true)) {
            writer.execute(this::write);
        }
    }

    private void take(EndpointUpdate update) {
        revision = update.revision();
        if (update.mode() != EndpointUpdateMode.INCREMENTAL) {
            entries.clear();
            toldAt.clear();
        }
        for (RosterEntry entry : update.entries()) {
            if (entry.state() == RosterEntry.State.GONE) {
                entries.remove(entry.id());
                toldAt.remove(entry.id());
            } else {
                entries.put(entry.id(), entry);
                toldAt.put(entry.id(), wallMillis.getAsLong());
            }
        }
    }

    private static RosterEntry aged(RosterEntry e, long more) {
        long age = e.ageMillis() == RosterEntry.UNTOLD ? RosterEntry.UNTOLD : e.ageMillis() + more;
        return new RosterEntry(e.id(), e.zone(), e.kind(), e.cell(), e.state(), e.weight(), age, e.boot());
    }

    private synchronized byte[] bytes() {
        due.set(false);
        long now = wallMillis.getAsLong();
        List<RosterEntry> aged = entries.values().stream()
                .map(e -> aged(e, Math.max(0, now - toldAt.get(e.id()))))
                .toList();
        byte[] list =
                new RosterFrame(RosterFrame.Kind.ALL, 0, revision, aged).text().getBytes(StandardCharsets.UTF_8);
        CRC32C sum = new CRC32C();
        sum.update(list);
        byte[] head =
                (MAGIC + ' ' + now + ' ' + Long.toHexString(sum.getValue()) + '\n').getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(head.length + list.length)
                .put(head)
                .put(list)
                .array();
    }

    private void write() {
        byte[] bytes = bytes();
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            try (FileChannel channel = FileChannel.open(
                    beside,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer all = ByteBuffer.wrap(bytes);
                while (all.hasRemaining()) {
                    channel.write(all);
                }
                channel.force(true);
            }
            Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("the list could not be kept in {}: {}", file, e.toString());
        }
    }

    /** Writes what is due and ends. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

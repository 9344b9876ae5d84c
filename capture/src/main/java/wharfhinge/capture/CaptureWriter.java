package wharfhinge.capture;

import com.github.luben.zstd.Zstd;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes frames to rolling segments in a folder, on a thread of its own. {@link #accept} never blocks: frames are handed over in
 * batches, so that the writer is woken seldom; what finds the hand-over full, or can't be written, is counted, and the next frame
 * that goes through is preceded by a {@link Event.Gap}. Segments beyond the set bytes or age are deleted, the oldest first; the one
 * being written never is.
 */
public final class CaptureWriter implements Consumer<Frame>, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CaptureWriter.class);
    private static final int BATCH_FRAMES = 256;
    private static final long MAX_BATCH_NANOS =
            100_000_000L; // of the frames' clock; a dispatcher's own timer comes twice a second
    private static final int MAX_QUEUED_FRAMES = 65_536; // frames
    private static final int BLOCK_FRAMES = 2000;
    private static final long MAX_BLOCK_NANOS = 500_000_000L;
    private static final int COMPRESSION_LEVEL = 1; // the fastest: writing shares the machine with calls
    private static final long RETRY_NANOS = 1_000_000_000L;

    /** Figures of a writer. */
    public record Figures(long frames, long lost, long bytes, long segments) {}

    /** Wall clock and the frames' clock, read together. */
    private record Clocks(long wallMillis, long nanos) {}

    private final Path folder;
    private final String gateway;
    private final long segmentBytes;
    private final long maxBytes;
    private final long maxAgeMillis;
    private final boolean hashed;
    private final LinkedBlockingQueue<List<Frame>> queue = new LinkedBlockingQueue<>();
    private final AtomicInteger queuedFrames = new AtomicInteger();
    private final Thread thread;
    private final List<Frame> block = new ArrayList<>();
    private FileChannel file;
    private long segmentSize;
    private long blockStartedAt;
    private long nextRetryAt;
    private List<Frame> batch = new ArrayList<>(BATCH_FRAMES); // the loop's thread alone, as the next
    private long lostSinceGap; // since the last gap
    private long lostOnDisk; // the writer's thread alone
    private volatile Clocks clocks = new Clocks(System.currentTimeMillis(), 0);
    private volatile long frames;
    private volatile long lost;
    private volatile long bytes;
    private volatile long segments;
    private volatile boolean closing;

    /**
     * A writer that begins at once.
     *
     * @param segmentBytes a segment is closed beyond so many
     * @param maxBytes    of all segments of this gateway in the folder
     */
    public CaptureWriter(
            Path folder, String gateway, long segmentBytes, long maxBytes, long maxAgeMillis, boolean hashed)
            throws IOException {
        this.folder = Files.createDirectories(folder);
        this.gateway = gateway;
        this.segmentBytes = segmentBytes;
        this.maxBytes = maxBytes;
        this.maxAgeMillis = maxAgeMillis;
        this.hashed = hashed;
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /** Hands a frame over; the dispatcher's thread alone calls it. */
    @Override
    public void accept(Frame frame) {
        if (lostSinceGap > 0 && batch.isEmpty()) {
            batch.add(new Frame(frame.at(), new Event.Gap(lostSinceGap), List.of(), ""));
        }
        batch.add(frame);
        if (batch.size() >= BATCH_FRAMES
                || frame.at() - batch.get(0).at() >= MAX_BATCH_NANOS
                || frame.event() instanceof Event.Life) {
            enqueueBatch();
        }
    }

    private void enqueueBatch() {
        if (batch.isEmpty()) {
            return;
        }
        clocks = new Clocks(
                System.currentTimeMillis(), batch.get(batch.size() - 1).at());
        if (queuedFrames.get() + batch.size() <= MAX_QUEUED_FRAMES) {
            queuedFrames.addAndGet(batch.size());
            queue.add(batch);
            lostSinceGap = 0;
        } else {
            long gone = batch.size() - (batch.get(0).event() instanceof Event.Gap ? 1 : 0);
            lostSinceGap += gone;
            lost += gone;
        }
        batch = new ArrayList<>(BATCH_FRAMES);
    }

    /** What was written and lost so far. */
    public Figures figures() {
        return new Figures(frames, lost, bytes, segments);
    }

    private void run() {
        try {
            while (!closing || !queue.isEmpty()) {
                List<Frame> some = queue.poll(50, TimeUnit.MILLISECONDS);
                if (some != null) {
                    blockStartedAt = block.isEmpty() ? System.nanoTime() : blockStartedAt;
                    block.addAll(some);
                    queuedFrames.addAndGet(-some.size());
                }
                boolean old = !block.isEmpty() && System.nanoTime() - blockStartedAt > MAX_BLOCK_NANOS;
                if (block.size() >= BLOCK_FRAMES || old) {
                    flush();
                }
            }
            flush();
            if (file != null) {
                file.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.warn("capture: {}", e.getMessage());
        }
    }

    private void flush() {
        if (block.isEmpty()) {
            return;
        }
        try {
            if (System.nanoTime() < nextRetryAt) {
                throw new IOException("waiting before the next try");
            }
            if (lostOnDisk > 0) {
                block.add(0, new Frame(block.get(0).at(), new Event.Gap(lostOnDisk), List.of(), ""));
            }
            write();
            frames += block.size();
            lostOnDisk = 0;
        } catch (IOException e) {
            if (System.nanoTime() >= nextRetryAt) {
                LOG.warn("capture can't be written, a gap is marked: {}", e.getMessage());
                nextRetryAt = System.nanoTime() + RETRY_NANOS;
            }
            long gone = block.stream()
                    .filter(f -> !(f.event() instanceof Event.Gap))
                    .count();
            lostOnDisk += gone;
            lost += gone;
            close(file);
            file = null; // a new segment: what was half written ends the old one
        }
        block.clear();
    }

    private static void close(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            LOG.debug("closing", e);
        }
    }

    private void write() throws IOException {
        if (file == null || segmentSize > segmentBytes) {
            startSegment();
        }
        var wire = wharfhinge.capture.wire.Block.newBuilder();
        block.forEach(f -> wire.addFrames(WireCodec.write(f)));
        byte[] plain = wire.build().toByteArray();
        byte[] packed = Zstd.compress(plain, COMPRESSION_LEVEL);
        byte[] filter = NameFilter.of(namesInBlock()).bytes();
        ByteBuffer out = ByteBuffer.allocate(4 + CaptureFile.HEAD_BYTES + filter.length + packed.length);
        out.putInt(CaptureFile.BLOCK_MARK)
                .putInt(filter.length + packed.length)
                .putInt(0)
                .putInt(plain.length)
                .putLong(block.get(0).at())
                .putLong(block.get(block.size() - 1).at())
                .putInt(block.size())
                .putInt(filter.length)
                .put(filter)
                .put(packed)
                .flip();
        CRC32C crc = new CRC32C();
        crc.update(out.array(), CaptureFile.CHECKSUM_FROM, out.limit() - CaptureFile.CHECKSUM_FROM);
        out.putInt(CaptureFile.CHECKSUM_FROM - 4, (int) crc.getValue());
        segmentSize += out.remaining();
        bytes += out.remaining();
        while (out.hasRemaining()) {
            file.write(out);
        }
    }

    /** Of the calls that the block tells of: the gateway's own and the clients'. */
    private Set<String> namesInBlock() {
        Set<String> names = new HashSet<>();
        for (Frame f : block) {
            if (f.event() instanceof Event.Named n) {
                names.add(n.outer());
                names.add(n.request());
            } else if (f.event().request() != null) {
                names.add(f.event().request());
            }
        }
        return names;
    }

    private void startSegment() throws IOException {
        close(file);
        file = null;
        long wall = System.currentTimeMillis();
        Path path = folder.resolve(String.format("%s-%015d-%06d%s", gateway, wall, segments, CaptureFile.SUFFIX));
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        Clocks both = clocks;
        byte[] head =
                CaptureFile.head(gateway, both.wallMillis, both.nanos, hashed).getBytes(StandardCharsets.US_ASCII);
        file.write(ByteBuffer.wrap(head));
        segmentSize = head.length;
        bytes += head.length;
        segments++;
        prune(path);
    }

    /** Ages are by the wall clock, which dates the files: after a step of it segments are deleted by as much too early or too late. */
    private void prune(Path writing) throws IOException {
        List<Path> all;
        try (Stream<Path> files = Files.list(folder)) {
            all = files.filter(p -> p.getFileName().toString().startsWith(gateway + '-')
                            && p.toString().endsWith(CaptureFile.SUFFIX)
                            && !p.equals(writing))
                    .sorted()
                    .collect(Collectors.toList());
        }
        long sum = segmentBytes;
        for (int i = all.size() - 1; i >= 0; i--) {
            sum += Files.size(all.get(i));
            boolean old = System.currentTimeMillis()
                            - Files.getLastModifiedTime(all.get(i)).toMillis()
                    > maxAgeMillis;
            if (sum > maxBytes || old) {
                Files.deleteIfExists(all.get(i));
            }
        }
    }

    /** Writes what was handed over, and ends; blocks some seconds at most. Once the dispatcher's thread has made its last call. */
    @Override
    public void close() throws InterruptedException {
        enqueueBatch();
        closing = true;
        thread.join(5000);
    }
}

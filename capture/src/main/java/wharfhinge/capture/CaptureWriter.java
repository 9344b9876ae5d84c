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
 * Writes frames to rolling segments in a folder, on its own thread. {@link #accept} never blocks: frames are queued in batches, which
 * keeps wake-ups of the writer thread rare. Frames that find the queue full or that can't be written are counted as lost, and the next
 * frame that is written is preceded by a {@link Event.Gap}. Segments beyond the byte or age limit are deleted, oldest first; the segment
 * being written is never deleted.
 */
public final class CaptureWriter implements Consumer<Frame>, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CaptureWriter.class);
    private static final int BATCH_FRAMES = 256;
    private static final long MAX_BATCH_NANOS =
            100_000_000L; // on the frames' clock; a dispatcher's own timer fires twice a second
    private static final int MAX_QUEUED_FRAMES = 65_536;
    private static final int BLOCK_FRAMES = 2000;
    private static final long MAX_BLOCK_NANOS = 500_000_000L;
    private static final int COMPRESSION_LEVEL = 1; // the fastest level: the writer shares the CPU with calls
    private static final long RETRY_NANOS = 1_000_000_000L;

    /** Numbers of frames written and lost, of bytes written and of segments started. */
    public record Statistics(long frames, long lost, long bytes, long segments) {}

    /** The wall clock and the frames' clock, read at the same moment. */
    private record ClockReading(long wallMillis, long nanos) {}

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
    private List<Frame> batch = new ArrayList<>(BATCH_FRAMES); // used by the dispatcher's thread only
    private long lostSinceGap; // frames lost since the last gap; used by the dispatcher's thread only
    private long lostOnDisk; // frames that couldn't be written since the last block; used by the writer thread only
    private volatile ClockReading clocks = new ClockReading(System.currentTimeMillis(), 0);
    private volatile long frames;
    private volatile long lost;
    private volatile long bytes;
    private volatile long segments;
    private volatile boolean closing;

    /**
     * Starts the writer thread.
     *
     * @param segmentBytes size beyond which a new segment is started
     * @param maxBytes     total size of all segments of this gateway in the folder
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

    /** Queues a frame. Called by the dispatcher's thread only. */
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
        clocks = new ClockReading(
                System.currentTimeMillis(), batch.get(batch.size() - 1).at());
        if (queuedFrames.get() + batch.size() <= MAX_QUEUED_FRAMES) {
            queuedFrames.addAndGet(batch.size());
            queue.add(batch);
            lostSinceGap = 0;
        } else {
            long lostFrames = batch.size() - (batch.get(0).event() instanceof Event.Gap ? 1 : 0);
            lostSinceGap += lostFrames;
            lost += lostFrames;
        }
        batch = new ArrayList<>(BATCH_FRAMES);
    }

    /** Returns the statistics since the start of this writer. */
    public Statistics statistics() {
        return new Statistics(frames, lost, bytes, segments);
    }

    private void run() {
        try {
            while (!closing || !queue.isEmpty()) {
                List<Frame> dequeued = queue.poll(50, TimeUnit.MILLISECONDS);
                if (dequeued != null) {
                    blockStartedAt = block.isEmpty() ? System.nanoTime() : blockStartedAt;
                    block.addAll(dequeued);
                    queuedFrames.addAndGet(-dequeued.size());
                }
                boolean due = !block.isEmpty() && System.nanoTime() - blockStartedAt > MAX_BLOCK_NANOS;
                if (block.size() >= BLOCK_FRAMES || due) {
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
            LOG.warn("capture segment can't be closed: {}", e.getMessage());
        }
    }

    private void flush() {
        if (block.isEmpty()) {
            return;
        }
        try {
            if (System.nanoTime() < nextRetryAt) {
                throw new IOException("waiting before the next attempt to write");
            }
            if (lostOnDisk > 0) {
                block.add(0, new Frame(block.get(0).at(), new Event.Gap(lostOnDisk), List.of(), ""));
            }
            write();
            frames += block.size();
            lostOnDisk = 0;
        } catch (IOException e) {
            if (System.nanoTime() >= nextRetryAt) {
                LOG.warn("capture can't be written, frames are lost and marked as a gap: {}", e.getMessage());
                nextRetryAt = System.nanoTime() + RETRY_NANOS;
            }
            long lostFrames = block.stream()
                    .filter(f -> !(f.event() instanceof Event.Gap))
                    .count();
            lostOnDisk += lostFrames;
            lost += lostFrames;
            close(file);
            file = null; // the next block starts a new segment; the old one may end in a partial block
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
        var blockMessage = wharfhinge.capture.wire.Block.newBuilder();
        block.forEach(f -> blockMessage.addFrames(WireCodec.write(f)));
        byte[] plainBytes = blockMessage.build().toByteArray();
        byte[] compressed = Zstd.compress(plainBytes, COMPRESSION_LEVEL);
        byte[] filter = NameFilter.of(namesInBlock()).bytes();
        ByteBuffer out = ByteBuffer.allocate(4 + CaptureFile.HEADER_BYTES + filter.length + compressed.length);
        out.putInt(CaptureFile.BLOCK_MARKER)
                .putInt(filter.length + compressed.length)
                .putInt(0)
                .putInt(plainBytes.length)
                .putLong(block.get(0).at())
                .putLong(block.get(block.size() - 1).at())
                .putInt(block.size())
                .putInt(filter.length)
                .put(filter)
                .put(compressed)
                .flip();
        CRC32C crc = new CRC32C();
        crc.update(out.array(), CaptureFile.CHECKSUM_START, out.limit() - CaptureFile.CHECKSUM_START);
        out.putInt(CaptureFile.CHECKSUM_START - 4, (int) crc.getValue());
        segmentSize += out.remaining();
        bytes += out.remaining();
        while (out.hasRemaining()) {
            file.write(out);
        }
    }

    /** Ids of the calls in the block, both the gateway's and the clients'. */
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
        long segmentMillis = System.currentTimeMillis();
        Path path =
                folder.resolve(String.format("%s-%015d-%06d%s", gateway, segmentMillis, segments, CaptureFile.SUFFIX));
        file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        ClockReading reading = clocks;
        byte[] headerBytes = CaptureFile.headerLine(gateway, reading.wallMillis, reading.nanos, hashed)
                .getBytes(StandardCharsets.US_ASCII);
        file.write(ByteBuffer.wrap(headerBytes));
        segmentSize = headerBytes.length;
        bytes += headerBytes.length;
        segments++;
        prune(path);
    }

    /** Deletes old segments. Age is measured by the wall clock, so a clock step deletes segments that much too early or too late. */
    private void prune(Path currentSegment) throws IOException {
        List<Path> otherSegments;
        try (Stream<Path> files = Files.list(folder)) {
            otherSegments = files.filter(p -> p.getFileName().toString().startsWith(gateway + '-')
                            && p.toString().endsWith(CaptureFile.SUFFIX)
                            && !p.equals(currentSegment))
                    .sorted()
                    .collect(Collectors.toList());
        }
        long totalBytes = segmentBytes;
        for (int i = otherSegments.size() - 1; i >= 0; i--) {
            totalBytes += Files.size(otherSegments.get(i));
            boolean expired = System.currentTimeMillis()
                            - Files.getLastModifiedTime(otherSegments.get(i)).toMillis()
                    > maxAgeMillis;
            if (totalBytes > maxBytes || expired) {
                Files.deleteIfExists(otherSegments.get(i));
            }
        }
    }

    /** Writes the queued frames and stops; blocks for 5 s at most. Call it after the dispatcher's thread has made its last call. */
    @Override
    public void close() throws InterruptedException {
        enqueueBatch();
        closing = true;
        thread.join(5000);
    }
}

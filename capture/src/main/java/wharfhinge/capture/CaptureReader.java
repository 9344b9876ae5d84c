package wharfhinge.capture;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/** Reads captures. If a segment is truncated or damaged, the frames before the fault are returned with a description of the fault. */
public final class CaptureReader {

    /**
     * The capture of one gateway.
     *
     * @param wallMillis wall clock at {@code nanos} of the gateway's monotonic clock
     * @param faults     where a segment is truncated or damaged; the frames have a {@link Event.Gap} there
     */
    public record Capture(
            String gateway, long wallMillis, long nanos, boolean hashed, List<Frame> frames, List<String> faults) {
        /** The wall-clock time of a frame in microseconds. */
        public long wallMicros(Frame frame) {
            return wallMillis * 1000 + (frame.at() - nanos) / 1000;
        }
    }

    /** The fields of a block's header, without the content of the block. */
    public record BlockHeader(
            Path segment,
            long offset,
            long wallMillis,
            long firstNanos,
            long lastNanos,
            int frames,
            NameFilter names) {}

    private record SegmentHeader(int version, String gateway, long wallMillis, long nanos, boolean hashed, int length) {
        int blockHeaderBytes() {
            return 4 + CaptureFile.headerBytes(version);
        }
    }

    private static final int FRAME_COUNT_OFFSET =
            4 + 8 + 8; // offset of the frame count in a block header after its checksum

    private CaptureReader() {}

    /** The segments of a folder in the order of writing, or the file itself. */
    public static List<Path> segments(Path at) throws IOException {
        if (!Files.isDirectory(at)) {
            return List.of(at);
        }
        try (Stream<Path> files = Files.list(at)) {
            return files.filter(p -> p.toString().endsWith(CaptureFile.SUFFIX))
                    .sorted()
                    .collect(Collectors.toList());
        }
    }

    /** Reads a file, or all segments of a folder that contains the segments of one gateway. */
    public static Capture read(Path at) throws IOException {
        List<Frame> frames = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        SegmentHeader first = null;
        for (Path segment : segments(at)) {
            SegmentHeader header = read(segment, frames, faults);
            if (first != null && !first.gateway.equals(header.gateway)) {
                throw new IOException(at + ": contains captures of gateways " + first.gateway + " and " + header.gateway
                        + "; pass the files of one gateway");
            }
            first = first == null ? header : first;
        }
        if (first == null) {
            throw new IOException(at + ": contains no capture segment");
        }
        return new Capture(first.gateway, first.wallMillis, first.nanos, first.hashed, frames, faults);
    }

    private static SegmentHeader read(Path segment, List<Frame> frames, List<String> faults) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(segment), 1 << 16))) {
            SegmentHeader header = readSegmentHeader(segment, in);
            long offset = header.length;
            long size = Files.size(segment);
            while (offset < size) {
                String fault = null;
                int length = 0;
                if (size - offset < header.blockHeaderBytes()) {
                    fault = "cut inside a block header";
                } else if (in.readInt() != CaptureFile.BLOCK_MARKER) {
                    fault = "no block starts here";
                } else {
                    length = in.readInt();
                    fault = readBlock(in, header, length, size - offset - header.blockHeaderBytes(), frames);
                }
                if (fault != null) {
                    faults.add(segment.getFileName() + " at byte " + offset + ": " + fault
                            + "; the rest of this segment is skipped");
                    long at =
                            frames.isEmpty() ? 0 : frames.get(frames.size() - 1).at();
                    frames.add(new Frame(at, new Event.Gap(1), List.of(), ""));
                    return header;
                }
                offset += header.blockHeaderBytes() + length;
            }
            return header;
        }
    }

    private static SegmentHeader readSegmentHeader(Path segment, InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0 || line.length() > 500) {
                throw new IOException(segment + ": no capture, its header line does not end");
            }
            line.append((char) character);
        }
        String[] words = line.toString().split(" ");
        if (words.length < 2 || !words[0].equals(CaptureFile.MAGIC)) {
            throw new IOException(segment + ": no capture, found '" + line + "'");
        }
        if (!words[1].matches("[0-9]{1,6}")
                || Integer.parseInt(words[1]) < CaptureFile.VERSION_WITHOUT_FILTER
                || Integer.parseInt(words[1]) > CaptureFile.VERSION
                || words.length != 6) {
            throw new IOException(segment + ": written in version " + words[1] + ", this program reads versions "
                    + CaptureFile.VERSION_WITHOUT_FILTER + " to " + CaptureFile.VERSION
                    + "; replay it with the program that wrote it");
        }
        return new SegmentHeader(
                Integer.parseInt(words[1]),
                words[2],
                Long.parseLong(words[3]),
                Long.parseLong(words[4]),
                words[5].equals("hashed"),
                line.length() + 1);
    }

    /** Reads one block. Returns null, or a description of the fault. */
    private static String readBlock(
            DataInputStream in, SegmentHeader file, int length, long remaining, List<Frame> frames) throws IOException {
        int expectedChecksum = in.readInt();
        byte[] header = in.readNBytes(CaptureFile.headerBytes(file.version) - 8);
        if (length < 0 || length > CaptureFile.MAX_BLOCK_BYTES) {
            return "invalid block length of " + length + " bytes";
        }
        if (length > remaining) {
            return "cut inside a block";
        }
        int filterBytes = file.version == CaptureFile.VERSION_WITHOUT_FILTER
                ? 0
                : ByteBuffer.wrap(header).getInt(header.length - 4);
        byte[] content = in.readNBytes(length);
        if (filterBytes < 0 || filterBytes > content.length) {
            return "a filter of " + filterBytes + " bytes";
        }
        byte[] compressed = Arrays.copyOfRange(content, filterBytes, content.length);
        CRC32C checksum = new CRC32C();
        checksum.update(header);
        checksum.update(content);
        ByteBuffer headerFields = ByteBuffer.wrap(header);
        int plainBytes = headerFields.getInt(0);
        int count = headerFields.getInt(FRAME_COUNT_OFFSET);
        if ((int) checksum.getValue() != expectedChecksum
                || plainBytes < 0
                || plainBytes > CaptureFile.MAX_BLOCK_BYTES) {
            return "wrong checksum";
        }
        try {
            var block = wharfhinge.capture.wire.Block.parseFrom(Zstd.decompress(compressed, plainBytes));
            List<Frame> read = new ArrayList<>();
            for (var frame : block.getFramesList()) {
                read.add(WireCodec.read(frame));
            }
            if (read.size() != count) {
                return read.size() + " frames, but " + count + " in the block header";
            }
            frames.addAll(read);
            return null;
        } catch (InvalidProtocolBufferException | ZstdException e) {
            return "not decodable: " + e.getMessage();
        }
    }

    /**
     * Reads the headers of all blocks without decompressing the blocks: the index by time and by call. A segment is read up to the first
     * truncated or malformed block.
     */
    public static List<BlockHeader> index(Path at) throws IOException {
        List<BlockHeader> headers = new ArrayList<>();
        for (Path segment : segments(at)) {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(segment)))) {
                SegmentHeader header = readSegmentHeader(segment, in);
                long offset = header.length;
                long size = Files.size(segment);
                while (size - offset >= header.blockHeaderBytes() && in.readInt() == CaptureFile.BLOCK_MARKER) {
                    int length = in.readInt();
                    in.readInt();
                    in.readInt();
                    long first = in.readLong();
                    long last = in.readLong();
                    int frames = in.readInt();
                    int filterBytes = header.version == CaptureFile.VERSION_WITHOUT_FILTER ? 0 : in.readInt();
                    if (filterBytes < 0
                            || filterBytes > CaptureFile.MAX_FILTER_BYTES
                            || length < filterBytes
                            || size - offset - header.blockHeaderBytes() < length) {
                        break;
                    }
                    NameFilter names = NameFilter.read(in.readNBytes(filterBytes));
                    headers.add(new BlockHeader(
                            segment,
                            offset,
                            header.wallMillis + (first - header.nanos) / 1_000_000,
                            first,
                            last,
                            frames,
                            names));
                    in.skipNBytes(length - filterBytes);
                    offset += (long) header.blockHeaderBytes() + length;
                }
            }
        }
        return headers;
    }
}

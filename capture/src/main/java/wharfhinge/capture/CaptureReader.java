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

/** Reads captures. Where a segment is cut or damaged, what stands before is given, and the trouble is told with its place. */
public final class CaptureReader {

    /**
     * What was read of one gateway.
     *
     * @param wallMillis   wall clock at {@code nanos} of the gateway's own clock
     * @param faults where it was cut or damaged; a {@link Event.Gap} stands there
     */
    public record Capture(
            String gateway, long wallMillis, long nanos, boolean hashed, List<Frame> frames, List<String> faults) {
        /** A frame's time on the wall clock, microseconds. */
        public long wallMicros(Frame frame) {
            return wallMillis * 1000 + (frame.at() - nanos) / 1000;
        }
    }

    /** A block as its head tells it. */
    public record BlockHead(
            Path segment,
            long offset,
            long wallMillis,
            long firstNanos,
            long lastNanos,
            int frames,
            NameFilter names) {}

    private record Head(int version, String gateway, long wallMillis, long nanos, boolean hashed, int length) {
        int blockHeadBytes() {
            return 4 + CaptureFile.headBytes(version);
        }
    }

    private static final int COUNT_AT = 4 + 8 + 8; // in a block's head after its checksum

    private CaptureReader() {}

    /** Segments of a folder in their order, or the one file. */
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

    /** Reads a file, or all segments of a folder that holds one gateway's. */
    public static Capture read(Path at) throws IOException {
        List<Frame> frames = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        Head first = null;
        for (Path segment : segments(at)) {
            Head head = read(segment, frames, faults);
            if (first != null && !first.gateway.equals(head.gateway)) {
                throw new IOException(at + ": holds captures of " + first.gateway + " and " + head.gateway
                        + "; name the files of one");
            }
            first = first == null ? head : first;
        }
        if (first == null) {
            throw new IOException(at + ": holds no capture");
        }
        return new Capture(first.gateway, first.wallMillis, first.nanos, first.hashed, frames, faults);
    }

    private static Head read(Path segment, List<Frame> frames, List<String> faults) throws IOException {
        try (DataInputStream in =
                new DataInputStream(new BufferedInputStream(Files.newInputStream(segment), 1 << 16))) {
            Head head = readHead(segment, in);
            long offset = head.length;
            long size = Files.size(segment);
            while (offset < size) {
                String fault = null;
                int length = 0;
                if (size - offset < head.blockHeadBytes()) {
                    fault = "cut inside a block's head";
                } else if (in.readInt() != CaptureFile.BLOCK_MARK) {
                    fault = "no block begins here";
                } else {
                    length = in.readInt();
                    fault = readBlock(in, head, length, size - offset - head.blockHeadBytes(), frames);
                }
                if (fault != null) {
                    faults.add(segment.getFileName() + " at byte " + offset + ": " + fault
                            + "; what follows in this segment is left out");
                    long at =
                            frames.isEmpty() ? 0 : frames.get(frames.size() - 1).at();
                    frames.add(new Frame(at, new Event.Gap(1), List.of(), ""));
                    return head;
                }
                offset += head.blockHeadBytes() + length;
            }
            return head;
        }
    }

    private static Head readHead(Path segment, InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0 || line.length() > 500) {
                throw new IOException(segment + ": no capture, its head line does not end");
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
        return new Head(
                Integer.parseInt(words[1]),
                words[2],
                Long.parseLong(words[3]),
                Long.parseLong(words[4]),
                words[5].equals("hashed"),
                line.length() + 1);
    }

    /** Null, or what is wrong with the block. */
    private static String readBlock(DataInputStream in, Head file, int length, long left, List<Frame> frames)
            throws IOException {
        int crc = in.readInt();
        byte[] head = in.readNBytes(CaptureFile.headBytes(file.version) - 8);
        if (length < 0 || length > CaptureFile.MAX_BLOCK_BYTES) {
            return "a block of " + length + " bytes";
        }
        if (length > left) {
            return "cut inside a block";
        }
        int filterBytes = file.version == CaptureFile.VERSION_WITHOUT_FILTER
                ? 0
                : ByteBuffer.wrap(head).getInt(head.length - 4);
        byte[] rest = in.readNBytes(length);
        if (filterBytes < 0 || filterBytes > rest.length) {
            return "a filter of " + filterBytes + " bytes";
        }
        byte[] packed = Arrays.copyOfRange(rest, filterBytes, rest.length);
        CRC32C sum = new CRC32C();
        sum.update(head);
        sum.update(rest);
        ByteBuffer fields = ByteBuffer.wrap(head);
        int plain = fields.getInt(0);
        int count = fields.getInt(COUNT_AT);
        if ((int) sum.getValue() != crc || plain < 0 || plain > CaptureFile.MAX_BLOCK_BYTES) {
            return "wrong checksum";
        }
        try {
            var block = wharfhinge.capture.wire.Block.parseFrom(Zstd.decompress(packed, plain));
            List<Frame> read = new ArrayList<>();
            for (var frame : block.getFramesList()) {
                read.add(WireCodec.read(frame));
            }
            if (read.size() != count) {
                return read.size() + " frames where " + count + " were told";
            }
            frames.addAll(read);
            return null;
        } catch (InvalidProtocolBufferException | ZstdException e) {
            return "not to be unpacked: " + e.getMessage();
        }
    }

    /** The heads of all blocks, without unpacking them: the index by time and by call. Stops where a segment is cut. */
    public static List<BlockHead> index(Path at) throws IOException {
        List<BlockHead> heads = new ArrayList<>();
        for (Path segment : segments(at)) {
            try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(segment)))) {
                Head head = readHead(segment, in);
                long offset = head.length;
                long size = Files.size(segment);
                while (size - offset >= head.blockHeadBytes() && in.readInt() == CaptureFile.BLOCK_MARK) {
                    int length = in.readInt();
                    in.readInt();
                    in.readInt();
                    long first = in.readLong();
                    long last = in.readLong();
                    int frames = in.readInt();
                    int filterBytes = head.version == CaptureFile.VERSION_WITHOUT_FILTER ? 0 : in.readInt();
                    if (filterBytes < 0
                            || filterBytes > CaptureFile.MAX_FILTER_BYTES
                            || length < filterBytes
                            || size - offset - head.blockHeadBytes() < length) {
                        break;
                    }
                    NameFilter names = NameFilter.read(in.readNBytes(filterBytes));
                    heads.add(new BlockHead(
                            segment,
                            offset,
                            head.wallMillis + (first - head.nanos) / 1_000_000,
                            first,
                            last,
                            frames,
                            names));
                    in.skipNBytes(length - filterBytes);
                    offset += (long) head.blockHeadBytes() + length;
                }
            }
        }
        return heads;
    }
}

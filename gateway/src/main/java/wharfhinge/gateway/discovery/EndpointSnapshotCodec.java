package wharfhinge.gateway.discovery;

import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import wharfhinge.protocol.ProtocolException;
import wharfhinge.protocol.RosterDecoder;
import wharfhinge.protocol.RosterFrame;

/**
 * Encodes and decodes the endpoint snapshot file: a header line with magic, write time and checksum, then the endpoint list in the format
 * of docs/protocol-roster.md. The checksum is the CRC-32C of the list, in hexadecimal.
 */
final class EndpointSnapshotCodec {
    private static final String MAGIC = "wharfhinge-list 1";
    private static final int HEADER_FIELDS = 4;
    private static final int WRITTEN_AT_FIELD = 2;
    private static final int CHECKSUM_FIELD = 3;

    private EndpointSnapshotCodec() {}

    /** An endpoint list and the Unix time at which it was written. */
    record Snapshot(long writtenAtMillis, RosterFrame list) {}

    static byte[] encode(Snapshot snapshot) {
        byte[] list = snapshot.list().text().getBytes(StandardCharsets.UTF_8);
        String header = MAGIC + ' ' + snapshot.writtenAtMillis() + ' ' + checksum(list, 0) + '\n';
        byte[] headerBytes = header.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(headerBytes.length + list.length)
                .put(headerBytes)
                .put(list)
                .array();
    }

    static Snapshot decode(byte[] bytes) throws MalformedSnapshotException {
        int headerEnd = 0;
        while (headerEnd < bytes.length && bytes[headerEnd] != '\n') {
            headerEnd++;
        }
        String[] header = new String(bytes, 0, headerEnd, StandardCharsets.UTF_8).split(" ");
        if (headerEnd == bytes.length
                || header.length != HEADER_FIELDS
                || !(header[0] + ' ' + header[1]).equals(MAGIC)) {
            throw new MalformedSnapshotException("first line is not '" + MAGIC + "', a time and a checksum");
        }
        int listStart = headerEnd + 1;
        if (!header[CHECKSUM_FIELD].equals(checksum(bytes, listStart))) {
            throw new MalformedSnapshotException("checksum mismatch: truncated or corrupted");
        }
        return new Snapshot(writtenAtMillis(header[WRITTEN_AT_FIELD]), list(bytes, listStart));
    }

    private static long writtenAtMillis(String field) throws MalformedSnapshotException {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw new MalformedSnapshotException("write time: found '" + field + "', allowed: milliseconds", e);
        }
    }

    private static RosterFrame list(byte[] bytes, int start) throws MalformedSnapshotException {
        List<RosterFrame> frames = new ArrayList<>();
        try {
            new RosterDecoder().decode(Unpooled.wrappedBuffer(bytes, start, bytes.length - start), frames::add);
        } catch (ProtocolException e) {
            throw new MalformedSnapshotException(e.getMessage(), e);
        }
        if (frames.size() != 1) {
            throw new MalformedSnapshotException("found " + frames.size() + " lists, allowed: 1");
        }
        return frames.get(0);
    }

    private static String checksum(byte[] bytes, int start) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, start, bytes.length - start);
        return Long.toHexString(checksum.getValue());
    }
}

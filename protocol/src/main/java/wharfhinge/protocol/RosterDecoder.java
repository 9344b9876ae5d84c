package wharfhinge.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Decodes the endpoint service's stream into frames, wherever the stream is split into buffers. Not thread-safe.
 */
public final class RosterDecoder {
    private static final int MAX_LINE_BYTES = 1024;
    private static final int MAX_ENTRIES = 1_000_000;
    private static final int ENTRY_FIELDS = 9;

    private final byte[] lineBytes = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private long lineNumber;
    private RosterFrame.Kind kind;
    private long from;
    private long revision;
    private int missingEntries;
    private List<RosterEntry> entries = List.of();

    /**
     * Reads all bytes, without releasing the buffer, and passes on each complete frame.
     *
     * @throws ProtocolException if a line is malformed; the decoder must not be used after that
     */
    public void decode(ByteBuf bytes, Consumer<RosterFrame> frames) throws ProtocolException {
        while (bytes.isReadable()) {
            byte nextByte = bytes.readByte();
            if (nextByte == '\n') {
                lineNumber++;
                onLine(new String(lineBytes, 0, lineLength, StandardCharsets.UTF_8), frames);
                lineLength = 0;
            } else if (lineLength == MAX_LINE_BYTES) {
                throw malformed("a line of over " + MAX_LINE_BYTES + " bytes", "shorter lines");
            } else {
                lineBytes[lineLength++] = nextByte;
            }
        }
    }

    /** Whether a frame or a line is incomplete. */
    public boolean midFrame() {
        return lineLength > 0 || missingEntries > 0;
    }

    private void onLine(String text, Consumer<RosterFrame> frames) throws ProtocolException {
        String[] fields = text.split(" ", -1);
        if (missingEntries > 0) {
            entries.add(parseEntry(fields, text));
            if (--missingEntries == 0) {
                endFrame(frames);
            }
            return;
        }
        from = 0;
        switch (fields[0]) {
            case "all" -> beginFrame(RosterFrame.Kind.ALL, fields, 3, text);
            case "changes" -> beginFrame(RosterFrame.Kind.CHANGES, fields, 4, text);
            case "beat" -> beginFrame(RosterFrame.Kind.HEARTBEAT, fields, 2, text);
            default -> throw malformed(text, "a line that begins with all, changes or beat");
        }
        if (missingEntries == 0) {
            endFrame(frames);
        }
    }

    private void beginFrame(RosterFrame.Kind frameKind, String[] fields, int fieldCount, String text)
            throws ProtocolException {
        if (fields.length != fieldCount) {
            throw malformed(text, fieldCount + " fields");
        }
        kind = frameKind;
        from = frameKind == RosterFrame.Kind.CHANGES ? wholeNumber(fields[1], Long.MAX_VALUE) : 0;
        revision = wholeNumber(fields[frameKind == RosterFrame.Kind.CHANGES ? 2 : 1], Long.MAX_VALUE);
        missingEntries =
                frameKind == RosterFrame.Kind.HEARTBEAT ? 0 : (int) wholeNumber(fields[fieldCount - 1], MAX_ENTRIES);
        entries = new ArrayList<>(Math.min(missingEntries, 1024));
    }

    private void endFrame(Consumer<RosterFrame> frames) {
        List<RosterEntry> completeEntries = List.copyOf(entries);
        entries = List.of();
        frames.accept(new RosterFrame(kind, from, revision, completeEntries));
    }

    private RosterEntry parseEntry(String[] fields, String text) throws ProtocolException {
        if (fields.length != ENTRY_FIELDS || !fields[0].equals("w")) {
            throw malformed(text, "w and " + (ENTRY_FIELDS - 1) + " fields");
        }
        int colon = fields[1].lastIndexOf(':');
        if (colon < 1 || wholeNumber(fields[1].substring(colon + 1), 65_535) == 0) {
            throw malformed(fields[1], "address:port");
        }
        RosterEntry.State state = RosterEntry.State.of(fields[5]);
        if (state == null) {
            throw malformed(fields[5], "U, L or D");
        }
        double weight;
        try {
            weight = Double.parseDouble(fields[6]);
        } catch (NumberFormatException e) {
            throw malformed(fields[6], "a number");
        }
        if (!(weight >= 0 && weight < 1e9)) {
            throw malformed(fields[6], "a number from 0 to 1000000000");
        }
        long ageMillis =
                fields[7].equals("-") ? RosterEntry.UNKNOWN_AGE : wholeNumber(fields[7], Long.MAX_VALUE / 1_000_000);
        return new RosterEntry(
                fields[1],
                fields[2],
                fields[3],
                (int) wholeNumber(fields[4], Integer.MAX_VALUE),
                state,
                weight,
                ageMillis,
                fields[8]);
    }

    private long wholeNumber(String text, long max) throws ProtocolException {
        boolean digits = !text.isEmpty() && text.length() <= 18 && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits || Long.parseLong(text) > max) {
            throw malformed(text, "a whole number from 0 to " + max);
        }
        return Long.parseLong(text);
    }

    private ProtocolException malformed(String found, String allowed) {
        return new ProtocolException("line " + lineNumber, found, allowed);
    }
}

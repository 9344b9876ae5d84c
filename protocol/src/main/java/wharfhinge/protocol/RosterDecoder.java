package wharfhinge.protocol;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Turns the bytes of a roster's stream into frames, however they are cut; used by one thread at a time. */
public final class RosterDecoder {
    private static final int MOST_LINE = 1024;
    private static final int MOST_ENTRIES = 1_000_000;
    private static final int ENTRY_FIELDS = 9;

    private final byte[] line = new byte[MOST_LINE];
    private int length;
    private long lineNumber;
    private RosterFrame.Kind kind;
    private long from;
    private long revision;
    private int missing;
    private List<RosterEntry> entries = List.of();

    /**
     * Takes bytes (they are read, not released) and hands on each frame that is whole.
     *
     * @throws ProtocolException where a line is not as the protocol has it; the decoder is of no use after that
     */
    public void decode(ByteBuf bytes, Consumer<RosterFrame> frames) throws ProtocolException {
        while (bytes.isReadable()) {
            byte b = bytes.readByte();
            if (b == '\n') {
                lineNumber++;
                line(new String(line, 0, length, StandardCharsets.UTF_8), frames);
                length = 0;
            } else if (length == MOST_LINE) {
                throw bad("a line of over " + MOST_LINE + " bytes", "shorter lines");
            } else {
                line[length++] = b;
            }
        }
    }

    /** Whether a frame or a line has begun and is not ended. */
    public boolean midFrame() {
        return length > 0 || missing > 0;
    }

    private void line(String text, Consumer<RosterFrame> frames) throws ProtocolException {
        String[] f = text.split(" ", -1);
        if (missing > 0) {
            entries.add(entry(f, text));
            if (--missing == 0) {
                end(frames);
            }
            return;
        }
        from = 0;
        switch (f[0]) {
            case "all" -> begin(RosterFrame.Kind.ALL, f, 3, text);
            case "changes" -> begin(RosterFrame.Kind.CHANGES, f, 4, text);
            case "beat" -> begin(RosterFrame.Kind.BEAT, f, 2, text);
            default -> throw bad(text, "a line that begins with all, changes or beat");
        }
        if (missing == 0) {
            end(frames);
        }
    }

    private void begin(RosterFrame.Kind of, String[] f, int fields, String text) throws ProtocolException {
        if (f.length != fields) {
            throw bad(text, fields + " fields");
        }
        kind = of;
        from = of == RosterFrame.Kind.CHANGES ? whole(f[1], Long.MAX_VALUE) : 0;
        revision = whole(f[of == RosterFrame.Kind.CHANGES ? 2 : 1], Long.MAX_VALUE);
        missing = of == RosterFrame.Kind.BEAT ? 0 : (int) whole(f[fields - 1], MOST_ENTRIES);
        entries = new ArrayList<>(Math.min(missing, 1024));
    }

    private void end(Consumer<RosterFrame> frames) {
        List<RosterEntry> whole = List.copyOf(entries);
        entries = List.of();
        frames.accept(new RosterFrame(kind, from, revision, whole));
    }

    private RosterEntry entry(String[] f, String text) throws ProtocolException {
        if (f.length != ENTRY_FIELDS || !f[0].equals("w")) {
            throw bad(text, "w and " + (ENTRY_FIELDS - 1) + " fields");
        }
        int colon = f[1].lastIndexOf(':');
        if (colon < 1 || whole(f[1].substring(colon + 1), 65_535) == 0) {
            throw bad(f[1], "address:port");
        }
        RosterEntry.State state = RosterEntry.State.of(f[5]);
        if (state == null) {
            throw bad(f[5], "U, L or D");
        }
        double weight;
        try {
            weight = Double.parseDouble(f[6]);
        } catch (NumberFormatException e) {
            throw bad(f[6], "a number");
        }
        if (!(weight >= 0 && weight < 1e9)) {
            throw bad(f[6], "a number from 0 to 1000000000");
        }
        long age = f[7].equals("-") ? RosterEntry.UNKNOWN_AGE : whole(f[7], Long.MAX_VALUE / 1_000_000);
        return new RosterEntry(f[1], f[2], f[3], (int) whole(f[4], Integer.MAX_VALUE), state, weight, age, f[8]);
    }

    private long whole(String text, long most) throws ProtocolException {
        boolean digits = !text.isEmpty() && text.length() <= 18 && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits || Long.parseLong(text) > most) {
            throw bad(text, "a whole number from 0 to " + most);
        }
        return Long.parseLong(text);
    }

    private ProtocolException bad(String found, String allowed) {
        return new ProtocolException("line " + lineNumber, found, allowed);
    }
}

package wharfhinge.protocol;

import java.util.List;

/**
 * One message of the endpoint service's stream.
 *
 * @param from     the revision that {@link Kind#CHANGES} apply to; 0 for the other kinds
 * @param revision the revision of the endpoint list after this message
 * @param entries  the listed or changed workers; empty for {@link Kind#HEARTBEAT}
 */
public record RosterFrame(Kind kind, long from, long revision, List<RosterEntry> entries) {

    /** Kind of a message. */
    public enum Kind {
        /** The full endpoint list. */
        ALL("all"),
        /** The changes since a revision. */
        CHANGES("changes"),
        /** Confirms that the connection is alive and the revision is current. */
        HEARTBEAT("beat");

        private final String word;

        Kind(String word) {
            this.word = word;
        }
    }

    /** The wire format: lines of text, each ended by a line feed. */
    public String text() {
        StringBuilder text = new StringBuilder(kind.word);
        if (kind == Kind.CHANGES) {
            text.append(' ').append(from);
        }
        text.append(' ').append(revision);
        if (kind != Kind.HEARTBEAT) {
            text.append(' ').append(entries.size());
        }
        text.append('\n');
        entries.forEach(entry -> text.append(entry.line()));
        return text.toString();
    }
}

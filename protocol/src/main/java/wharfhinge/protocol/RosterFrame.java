package wharfhinge.protocol;

import java.util.List;

/**
 * One message of a roster's stream.
 *
 * @param kind     what it is
 * @param from     for {@link Kind#CHANGES} the revision they apply to, else 0
 * @param revision the revision that holds after it
 * @param entries  none for {@link Kind#BEAT}
 */
public record RosterFrame(Kind kind, long from, long revision, List<RosterEntry> entries) {

    /** Kinds of message. */
    public enum Kind {
        /** The whole list. */
        ALL("all"),
        /** What changed since a revision. */
        CHANGES("changes"),
        /** A sign of life. */
        BEAT("beat");

        private final String word;

        Kind(String word) {
            this.word = word;
        }
    }

    /** The frame as lines of text, each ended by a line feed. */
    public String text() {
        StringBuilder text = new StringBuilder(kind.word);
        if (kind == Kind.CHANGES) {
            text.append(' ').append(from);
        }
        text.append(' ').append(revision);
        if (kind != Kind.BEAT) {
            text.append(' ').append(entries.size());
        }
        text.append('\n');
        entries.forEach(entry -> text.append(entry.line()));
        return text.toString();
    }
}

package wharfhinge.protocol;

/** What a worker says in {@link WorkerProtocol#NOTE} of the copy that a call met. */
public enum CopyNote {
    /** Nothing is told. */
    NONE("-"),
    /** A loaded copy stood. */
    FOUND("found"),
    /** This call began the load. */
    BEGAN("began"),
    /** The call waited for a load begun before. */
    WAITED("waited"),
    /** A load failed: with {@code miss} the call never ran, with {@code error} nothing is proven. */
    LOAD_FAILED("load-failed");

    private final String word;

    CopyNote(String word) {
        this.word = word;
    }

    /** The word on the wire. */
    public String word() {
        return word;
    }

    /** The note of a word; {@link #NONE} where it is absent or unknown, so that newer workers do no harm. */
    public static CopyNote of(CharSequence word) {
        for (CopyNote note : values()) {
            if (word != null && note.word.contentEquals(word)) {
                return note;
            }
        }
        return NONE;
    }
}

package wharfhinge.protocol;

/** State of the function's copy on the worker when a call arrived, reported in {@link WorkerProtocol#NOTE}. */
public enum CopyNote {
    /** Not reported. */
    NONE("-"),
    /** A copy was already loaded. */
    FOUND("found"),
    /** This call started the load. */
    BEGAN("began"),
    /** The call waited for a load that was already in progress. */
    WAITED("waited"),
    /** The load failed. With the outcome {@code miss} the call never ran; with {@code error} it may have run. */
    LOAD_FAILED("load-failed");

    private final String word;

    CopyNote(String word) {
        this.word = word;
    }

    /** The value on the wire. */
    public String word() {
        return word;
    }

    /** Parses a value; an absent or unknown one, such as that of a newer worker, gives {@link #NONE}. */
    public static CopyNote of(CharSequence word) {
        for (CopyNote note : values()) {
            if (word != null && note.word.contentEquals(word)) {
                return note;
            }
        }
        return NONE;
    }
}

package wharfhinge.protocol;

/** What a worker says of a call in {@link WorkerProtocol#OUTCOME}. */
public enum AnswerCode {
    /** The call ran; the body is its answer. */
    SERVED("served", 200),
    /** The call may have run and gave no answer. */
    ERROR("error", 500),
    /** Turned away unseen: queue full, no memory to be had, or draining. Proves that the call never ran. */
    FULL("full", 503),
    /** The function is not loaded and no load is under way, or the load waited for failed. It never ran. */
    MISS("miss", 404);

    private final String word;
    private final int status;

    AnswerCode(String word, int status) {
        this.word = word;
        this.status = status;
    }

    /** The word on the wire. */
    public String word() {
        return word;
    }

    /** The HTTP status that goes with it. */
    public int status() {
        return status;
    }

    /** The code of a word; null where it is none of them. */
    public static AnswerCode of(CharSequence word) {
        for (AnswerCode code : values()) {
            if (word != null && code.word.contentEquals(word)) {
                return code;
            }
        }
        return null;
    }
}

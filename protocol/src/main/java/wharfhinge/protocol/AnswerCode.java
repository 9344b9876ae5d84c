package wharfhinge.protocol;

/** Outcome of a call on a worker, sent in {@link WorkerProtocol#OUTCOME}. */
public enum AnswerCode {
    /** The call ran; the body is its response. */
    SERVED("served", 200),
    /** The call may have run and gave no response. */
    ERROR("error", 500),
    /** Rejected before execution: the queue is full, memory is short or the worker drains. The call never ran. */
    FULL("full", 503),
    /**
     * The function is not loaded and no load is in progress, or the load that the call waited for failed. The call never
     * ran.
     */
    MISS("miss", 404);

    private final String word;
    private final int status;

    AnswerCode(String word, int status) {
        this.word = word;
        this.status = status;
    }

    /** The value on the wire. */
    public String word() {
        return word;
    }

    /** The HTTP status sent with it. */
    public int status() {
        return status;
    }

    /** Parses a value; null if it is absent or unknown. */
    public static AnswerCode of(CharSequence word) {
        for (AnswerCode code : values()) {
            if (word != null && code.word.contentEquals(word)) {
                return code;
            }
        }
        return null;
    }
}

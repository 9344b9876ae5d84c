package wharfhinge.protocol;

/** Final result of a call for its client, sent in {@link ClientProtocol#ANSWER}. */
public enum FinalAnswer {
    /** The body is a worker's response. */
    SERVED("served", 200),
    /** Rejected: a retry is harmless in any request class. */
    REFUSED("refused", 503),
    /** No response was received; the call may have been executed. */
    FAILED("failed", 502);

    private final String word;
    private final int status;

    FinalAnswer(String word, int status) {
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
}

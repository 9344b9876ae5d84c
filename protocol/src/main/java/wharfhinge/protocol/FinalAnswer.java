package wharfhinge.protocol;

/** How a call ended for its client, in {@link ClientProtocol#ANSWER}. */
public enum FinalAnswer {
    /** A worker's answer follows. */
    SERVED("served", 200),
    /** Turned away: a repeat is harmless, whatever the class. */
    REFUSED("refused", 503),
    /** No answer; it may have run. */
    FAILED("failed", 502);

    private final String word;
    private final int status;

    FinalAnswer(String word, int status) {
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
}

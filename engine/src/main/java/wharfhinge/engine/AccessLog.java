package wharfhinge.engine;

import java.util.List;

/** Receives each final answer and the dispatcher's diagnostics, on the engine's thread. Must not block. */
public interface AccessLog {
    /** Discards everything. */
    AccessLog NONE = new AccessLog() {
        @Override
        public boolean isAccessLogEnabled() {
            return false;
        }

        @Override
        public void onAnswered(Entry entry) {}

        @Override
        public void onDiagnostic(String text) {}

        @Override
        public void onDispatcherRestarted(String event, Throwable cause, int callsEnded) {}
    };

    /**
     * One final answer.
     *
     * @param answer           served, refused, failed, or left if the client cancelled first
     * @param attemptSummaries worker, result and duration of each attempt, or the reason why there was none
     */
    record Entry(
            String call,
            String function,
            String requestClass,
            String tenant,
            String answer,
            long tookNanos,
            List<String> attemptSummaries) {}

    /** Whether entries are logged. If not, callers save the cost of composing an entry for {@link #onAnswered}. */
    default boolean isAccessLogEnabled() {
        return true;
    }

    /** A call got its final answer. */
    void onAnswered(Entry entry);

    /** The dispatcher reports a diagnostic. */
    void onDiagnostic(String text);

    /**
     * The dispatcher threw, or a new incarnation of it could not be created; another incarnation starts.
     *
     * @param event      name of the event or timer during which it threw
     * @param callsEnded calls that got their final answer for this reason
     */
    void onDispatcherRestarted(String event, Throwable cause, int callsEnded);
}

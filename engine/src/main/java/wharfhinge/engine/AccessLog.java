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
        public void onAnswered(Entry line) {}

        @Override
        public void onDiagnostic(String text) {}

        @Override
        public void onDispatcherRestarted(String event, Throwable cause, int callsEnded) {}
    };

    /**
     * One final answer.
     *
     * @param answer served, refused, failed, or or left where the client cancelled first
     * @param trail  for each attempt its worker, result and duration
     */
    record Entry(
            String call,
            String function,
            String requestClass,
            String tenant,
            String answer,
            long tookNanos,
            List<String> trail) {}

    /** Whether {@link #onAnswered} is worth calling: composing an entry has a cost. */
    default boolean isAccessLogEnabled() {
        return true;
    }

    /** A call got its final answer. */
    void onAnswered(Entry line);

    /** The dispatcher reports a diagnostic. */
    void onDiagnostic(String text);

    /** The dispatcher threw; a new incarnation starts. */
    void onDispatcherRestarted(String event, Throwable cause, int callsEnded);
}

package wharfhinge.engine;

import java.util.List;

/** Told of each final answer and of what staff should read; called by the loop's thread, must not block. */
public interface AccessLog {
    /** Forgets all. */
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
     * @param answer served, refused, failed, or left where the client went first
     * @param trail  for each attempt its worker, how it ended and how long it took
     */
    record Entry(
            String call,
            String function,
            String requestClass,
            String tenant,
            String answer,
            long tookNanos,
            List<String> trail) {}

    /** Whether {@link #onAnswered} is of use: a line of a call has a price. */
    default boolean isAccessLogEnabled() {
        return true;
    }

    /** A call ended. */
    void onAnswered(Entry line);

    /** The decisions have something to say. */
    void onDiagnostic(String text);

    /** The decisions threw; a new life begins. */
    void onDispatcherRestarted(String event, Throwable cause, int callsEnded);
}

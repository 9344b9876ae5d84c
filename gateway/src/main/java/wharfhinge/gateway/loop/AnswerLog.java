package wharfhinge.gateway.loop;

import java.util.List;

/** Told of each final answer and of what staff should read; called by the loop's thread, must not block. */
public interface AnswerLog {
    /** Forgets all. */
    AnswerLog NONE = new AnswerLog() {
        @Override
        public boolean wantsAnswers() {
            return false;
        }

        @Override
        public void answered(Line line) {}

        @Override
        public void remark(String text) {}

        @Override
        public void restarted(String event, Throwable cause, int callsEnded) {}
    };

    /**
     * One final answer.
     *
     * @param answer served, refused, failed, or left where the client went first
     * @param trail  for each attempt its worker, how it ended and how long it took
     */
    record Line(
            String call,
            String function,
            String requestClass,
            String tenant,
            String answer,
            long tookNanos,
            List<String> trail) {}

    /** Whether {@link #answered} is of use: a line of a call has a price. */
    default boolean wantsAnswers() {
        return true;
    }

    /** A call ended. */
    void answered(Line line);

    /** The decisions have something to say. */
    void remark(String text);

    /** The decisions threw; a new life begins. */
    void restarted(String event, Throwable cause, int callsEnded);
}

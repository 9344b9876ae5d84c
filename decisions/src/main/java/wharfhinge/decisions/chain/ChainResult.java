package wharfhinge.decisions.chain;

import java.util.List;

/**
 * The final answer of a chain.
 *
 * @param reason why it was not served, as the client gets it; empty where it was
 * @param steps  what became of each step, in the plan's order
 */
public record ChainResult(Kind kind, String reason, List<StepState> steps) {
    /** How a chain ended. */
    public enum Kind {
        /** All steps were served. */
        SERVED,
        /** No step may have run that is not idempotent: a retry does no harm. */
        REFUSED,
        /** Steps may have run that are not idempotent; the states tell which. */
        FAILED
    }

    /** What is known of a step. */
    public enum StepState {
        /** It was never sent. */
        NOT_STARTED,
        /** Its call is in flight. */
        RUNNING,
        /** It ran and was answered. */
        SERVED,
        /** It was rejected and did not run. */
        REFUSED,
        /** It may have run. */
        MAY_HAVE_RUN
    }
}

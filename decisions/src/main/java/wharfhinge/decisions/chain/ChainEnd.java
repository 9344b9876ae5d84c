package wharfhinge.decisions.chain;

import java.util.List;

/**
 * How a chain ended.
 *
 * @param steps what became of each step, in the plan's order
 */
public record ChainEnd(Kind kind, String reason, List<StepState> steps) {
    /** The final answer. */
    public enum Kind {
        /** All steps were served. */
        SERVED,
        /** Nothing that matters has run; a repeat is harmless. */
        REFUSED,
        /** Steps may have run; the states tell which. */
        FAILED
    }

    /** What is known of a step. */
    public enum StepState {
        /** It never was sent. */
        NOT_STARTED,
        /** It is out. */
        RUNNING,
        /** It ran and was answered. */
        SERVED,
        /** It was turned away and did not run. */
        REFUSED,
        /** It may have run. */
        MAY_HAVE_RUN
    }
}

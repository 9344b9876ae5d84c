package wharfhinge.decisions.chain;

import java.util.List;

/**
 * The final answer of a chain.
 *
 * @param reason reason reported to the client, for example why the chain was not served; may be empty if it was served
 * @param steps  state of each step, in the order of the plan
 */
public record ChainResult(Kind kind, String reason, List<StepState> steps) {
    /** How a chain ended. */
    public enum Kind {
        /** All steps were served. */
        SERVED,
        /** The chain was not served. Every step that may have run is idempotent, so a retry is safe. */
        REFUSED,
        /** The chain was not served, and at least one step that is not idempotent may have run; the step states tell which. */
        FAILED
    }

    /** What is known about a step. */
    public enum StepState {
        /** The step was never sent. */
        NOT_STARTED,
        /** The call of the step is in flight. Does not occur in a final answer. */
        RUNNING,
        /** The step ran and was answered. */
        SERVED,
        /** The step was rejected and did not run. */
        REFUSED,
        /** The step may have run. */
        MAY_HAVE_RUN
    }
}

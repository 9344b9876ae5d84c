package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * An event and the actions that it led to.
 *
 * @param at     the dispatcher's clock, nanoseconds
 * @param thrown the class of what the dispatcher threw, or empty
 */
public record Frame(
        long at, Event event, List<RecordedAction> acts, @JsonInclude(JsonInclude.Include.NON_EMPTY) String thrown) {
    /** Nulls count as empty. */
    public Frame {
        acts = acts == null ? List.of() : List.copyOf(acts);
        thrown = thrown == null ? "" : thrown;
    }
}

package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * An event and the actions that the dispatcher took on it.
 *
 * @param at     time of the event on the dispatcher's clock, nanoseconds
 * @param thrown name of the class that the dispatcher threw, or empty
 */
public record Frame(
        long at, Event event, List<RecordedAction> acts, @JsonInclude(JsonInclude.Include.NON_EMPTY) String thrown) {
    /** Replaces null by an empty value. */
    public Frame {
        acts = acts == null ? List.of() : List.copyOf(acts);
        thrown = thrown == null ? "" : thrown;
    }
}

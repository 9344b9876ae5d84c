package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An action of a dispatcher. Fields that a kind does not use are empty or 0. Immutable.
 *
 * @param text   the text of REMARK, the token of TIMER
 * @param number the timeout of ATTEMPT, delay of TIMER and Retry-After of REFUSE in ns; the attempt index of CANCEL, the count of HOLD,
 *               the peer of PUBLISH; 1 (on) or 0 (off) for LISTEN
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record RecordedAction(
        Kind kind, String request, String worker, String function, String text, long number, String payload) {
    /** One constant for each method of {@link wharfhinge.policy.DispatcherActions}; the names are stored. */
    public enum Kind {
        ATTEMPT,
        CANCEL,
        REFUSE,
        FAIL,
        HOLD,
        UNLOAD,
        PROBE,
        TIMER,
        PUBLISH,
        LISTEN,
        RELOAD,
        HANG_UP,
        REMARK
    }

    /** Replaces null by an empty value. */
    public RecordedAction {
        request = request == null ? "" : request;
        worker = worker == null ? "" : worker;
        function = function == null ? "" : function;
        text = text == null ? "" : text;
        payload = payload == null ? "" : payload;
    }

    /** Formats the action as one readable line. */
    public String line() {
        StringBuilder line = new StringBuilder(kind.name().toLowerCase(java.util.Locale.ROOT));
        for (String word : new String[] {request, worker, function, text, payload}) {
            line.append(word.isEmpty() ? "" : " " + word);
        }
        return number == 0 ? line.toString() : line.append(' ').append(number).toString();
    }
}

package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An action of a dispatcher. Fields that a kind does not use are empty or 0. Immutable.
 *
 * @param text   of REMARK, the token of TIMER
 * @param number time-out of ATTEMPT and delay of TIMER in ns, index of CANCEL, cool-down of REFUSE in ns, count of HOLD, peer of
 *               PUBLISH, 1 or 0 of LISTEN
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record RecordedAction(
        Kind kind, String request, String worker, String function, String text, long number, String payload) {
    /** The methods of {@link wharfhinge.policy.DispatcherActions}. */
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

    /** Nulls count as empty. */
    public RecordedAction {
        request = request == null ? "" : request;
        worker = worker == null ? "" : worker;
        function = function == null ? "" : function;
        text = text == null ? "" : text;
        payload = payload == null ? "" : payload;
    }

    /** In a line, for people. */
    public String line() {
        StringBuilder line = new StringBuilder(kind.name().toLowerCase(java.util.Locale.ROOT));
        for (String word : new String[] {request, worker, function, text, payload}) {
            line.append(word.isEmpty() ? "" : " " + word);
        }
        return number == 0 ? line.toString() : line.append(' ').append(number).toString();
    }
}

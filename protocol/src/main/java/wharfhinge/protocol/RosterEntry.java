package wharfhinge.protocol;

/**
 * One worker in the endpoint list.
 *
 * @param id        {@code address:port}
 * @param cell      the group of workers that together discard repeated calls
 * @param ageMillis how long the worker's process has been running, or {@link #UNKNOWN_AGE}
 * @param boot      incarnation: identifies the process, so that a process restarted under the same address is
 *     recognized as new; {@link #NO_BOOT} if unknown
 */
public record RosterEntry(
        String id, String zone, String kind, int cell, State state, double weight, long ageMillis, String boot) {
    /** The age is unknown. */
    public static final long UNKNOWN_AGE = -1;
    /** The incarnation is unknown. */
    public static final String NO_BOOT = "-";

    /** State of a worker in the endpoint list. */
    public enum State {
        /** The worker accepts calls. */
        UP('U'),
        /** The worker finishes its calls; no new work may be sent to it. */
        DRAINING('L'),
        /** The worker was removed from the list; used in {@link RosterFrame.Kind#CHANGES} only. */
        GONE('D');

        private final char letter;

        State(char letter) {
            this.letter = letter;
        }

        static State of(String letter) {
            for (State state : values()) {
                if (letter.length() == 1 && letter.charAt(0) == state.letter) {
                    return state;
                }
            }
            return null;
        }
    }

    String line() {
        return "w " + id + ' ' + zone + ' ' + kind + ' ' + cell + ' ' + state.letter + ' ' + weight + ' '
                + (ageMillis == UNKNOWN_AGE ? "-" : Long.toString(ageMillis)) + ' ' + boot + '\n';
    }
}

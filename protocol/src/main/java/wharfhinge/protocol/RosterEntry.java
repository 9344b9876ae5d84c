package wharfhinge.protocol;

/**
 * One worker as the roster lists it.
 *
 * @param id     {@code address:port}
 * @param cell   the group of workers that discard repeats among them
 * @param ageMillis  how long its process runs, in milliseconds; {@link #UNKNOWN_AGE} where that is not told
 * @param boot   names the process, so that one back under the same address is known for new; {@code -} untold
 */
public record RosterEntry(
        String id, String zone, String kind, int cell, State state, double weight, long ageMillis, String boot) {
    /** No age is told. */
    public static final long UNKNOWN_AGE = -1;
    /** The process is not told. */
    public static final String NO_BOOT = "-";

    /** What the roster says of a worker. */
    public enum State {
        /** It runs. */
        UP('U'),
        /** It finishes what it has; nothing new may be sent. */
        DRAINING('L'),
        /** It is gone; only in changes. */
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

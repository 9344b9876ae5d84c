package wharfhinge.protocol;

/** Malformed data on the wire; the message names the place, what was found and what is allowed. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Malformed data at {@code place}, which is a header's name or a line number for instance. */
    public ProtocolException(String place, String found, String allowed) {
        super(place + ": found " + quoted(found) + ", allowed: " + allowed);
    }

    private static String quoted(String found) {
        if (found == null) {
            return "nothing";
        }
        StringBuilder text = new StringBuilder("'");
        for (int i = 0; i < Math.min(found.length(), 60); i++) {
            char character = found.charAt(i);
            text.append(character < ' ' || character > '~' ? '?' : character);
        }
        return text.append(found.length() > 60 ? "...'" : "'").toString();
    }
}

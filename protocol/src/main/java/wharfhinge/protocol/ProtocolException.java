package wharfhinge.protocol;

/** Something on the wire is not as the protocol has it; the message names the place, what was found and what is allowed. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /** A fault at {@code place}, such as a header's name or a line's number. */
    public ProtocolException(String place, String found, String allowed) {
        super(place + ": found " + shown(found) + ", allowed: " + allowed);
    }

    private static String shown(String found) {
        if (found == null) {
            return "nothing";
        }
        StringBuilder text = new StringBuilder("'");
        for (int i = 0; i < Math.min(found.length(), 60); i++) {
            char c = found.charAt(i);
            text.append(c < ' ' || c > '~' ? '?' : c);
        }
        return text.append(found.length() > 60 ? "...'" : "'").toString();
    }
}

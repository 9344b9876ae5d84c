package wharfhinge.decisions.admission;

/** Thrown for invalid admission settings; the message says what was found and what is allowed. */
public final class InvalidAdmissionSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidAdmissionSettingsException(String message) {
        super(message);
    }
}

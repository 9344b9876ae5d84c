package wharfhinge.decisions.admission;

/** Settings of the admission that contradict themselves; the message says what was found and what is allowed. */
public final class InvalidAdmissionSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidAdmissionSettingsException(String message) {
        super(message);
    }
}

package wharfhinge.gateway.tls;

import java.io.IOException;

/** A certificate, key or list of the settings can't be used; the message names the file, what was found and what is allowed. */
public final class InvalidCredentialsException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidCredentialsException(String message) {
        super(message);
    }

    InvalidCredentialsException(String message, Throwable cause) {
        super(message, cause);
    }
}

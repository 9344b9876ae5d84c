package wharfhinge.gateway.tls;

import java.io.IOException;

/** Thrown if a configured certificate, key or revocation list is unusable; the message names the file and the fault. */
public final class InvalidCredentialsException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidCredentialsException(String message) {
        super(message);
    }

    InvalidCredentialsException(String message, Throwable cause) {
        super(message, cause);
    }
}

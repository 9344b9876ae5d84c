package wharfhinge.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;

/** A gateway can't start: a file or port of its settings can't be used. The message names which and why. */
public final class GatewayStartException extends UncheckedIOException {
    private static final long serialVersionUID = 1L;

    GatewayStartException(String message, IOException cause) {
        super(message, cause);
    }
}

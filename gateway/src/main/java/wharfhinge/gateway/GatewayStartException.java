package wharfhinge.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;

/** Thrown if a gateway cannot start because a configured file or port cannot be used. The message names it and the reason. */
public final class GatewayStartException extends UncheckedIOException {
    private static final long serialVersionUID = 1L;

    GatewayStartException(String message, IOException cause) {
        super(message, cause);
    }
}

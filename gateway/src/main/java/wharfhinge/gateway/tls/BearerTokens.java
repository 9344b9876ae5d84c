package wharfhinge.gateway.tls;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Base64;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Issues and verifies bearer tokens of the form {@code wh1.TENANT.EXPIRES.MAC}. EXPIRES is in seconds since 1970. MAC is the
 * HMAC-SHA-256 of the text before the last dot, as base64url without padding. Anyone who holds the key can issue tokens.
 * Neither the key nor a token is ever logged. Thread-safe.
 */
public final class BearerTokens {
    private static final int MIN_KEY_BYTES = 32;
    private static final Pattern TOKEN_PATTERN =
            Pattern.compile("(wh1\\.([A-Za-z0-9._-]{1,64})\\.([0-9]{1,12}))\\.([A-Za-z0-9_-]{1,64})");
    private static final int EXPIRES_GROUP = 3;
    private static final int MAC_GROUP = 4;
    private static final int MAX_HEADER_CHARS = 512;

    /** Thrown for an invalid token; the message describes the fault without showing the token. */
    public static final class InvalidTokenException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidTokenException(String message) {
            super(message);
        }
    }

    private final byte[] key;
    private final LongSupplier wallMillis;

    /**
     * Reads the key from a file.
     *
     * @param wallMillis the wall clock, milliseconds since 1970
     * @throws IOException if the file can't be read or holds fewer than 32 bytes
     */
    public BearerTokens(Path keyFile, LongSupplier wallMillis) throws IOException {
        this.key = Files.readAllBytes(keyFile);
        this.wallMillis = wallMillis;
        if (key.length < MIN_KEY_BYTES) {
            throw new InvalidCredentialsException(
                    keyFile + ": found a key of " + key.length + " bytes, allowed: " + MIN_KEY_BYTES + " or more");
        }
    }

    /** Issues a token; used by token issuers and tests, not by the gateway itself. */
    public String issue(String tenant, long expiresAtSeconds) {
        String head = "wh1." + tenant + '.' + expiresAtSeconds;
        return head + '.' + mac(head);
    }

    /** The tenant of an {@code authorization} header, or null if the header is absent. */
    public String tenantOf(String authorization) throws InvalidTokenException {
        if (authorization == null) {
            return null;
        }
        if (!authorization.startsWith("Bearer ") || authorization.length() > MAX_HEADER_CHARS) {
            throw new InvalidTokenException(
                    "authorization: found no bearer token, allowed: Bearer wh1.TENANT.EXPIRES.MAC");
        }
        Matcher token = TOKEN_PATTERN.matcher(authorization.substring("Bearer ".length()));
        if (!token.matches()) {
            throw new InvalidTokenException(
                    "authorization: found a token of another form, allowed: wh1.TENANT.EXPIRES.MAC");
        }
        byte[] expectedMac = mac(token.group(1)).getBytes(StandardCharsets.US_ASCII);
        // The MAC is checked before the other fields, so that no message shows a part of a forged token.
        if (!MessageDigest.isEqual(expectedMac, token.group(MAC_GROUP).getBytes(StandardCharsets.US_ASCII))) {
            throw new InvalidTokenException("authorization: found a token whose MAC is wrong");
        }
        long expiresAtSeconds = Long.parseLong(token.group(EXPIRES_GROUP));
        if (expiresAtSeconds * 1000 <= wallMillis.getAsLong()) {
            throw new InvalidTokenException(
                    "authorization: found a token that expired at " + Instant.ofEpochSecond(expiresAtSeconds));
        }
        return token.group(2);
    }

    private String mac(String text) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            return Base64.getUrlEncoder()
                    .withoutPadding()
                    .encodeToString(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is not available, although every JDK must provide it", e);
        }
    }
}

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
 * Bearer tokens: {@code wh1.TENANT.EXPIRES.MAC}, with the expiry in seconds since 1970 and the MAC HMAC-SHA-256 over what stands before
 * its dot, as base64url without padding. Whoever holds the key makes them; neither key nor token is ever logged. Any thread may ask.
 */
public final class Tokens {
    private static final int LEAST_KEY = 32;
    private static final Pattern FORM =
            Pattern.compile("(wh1\\.([A-Za-z0-9._-]{1,64})\\.([0-9]{1,12}))\\.([A-Za-z0-9_-]{1,64})");
    private static final int EXPIRES = 3;
    private static final int MAC = 4;
    private static final int MOST = 512;

    /** Why a token is none; the message names what is wrong without the token. */
    public static final class BadTokenException extends Exception {
        private static final long serialVersionUID = 1L;

        BadTokenException(String message) {
            super(message);
        }
    }

    private final byte[] key;
    private final LongSupplier wallMillis;

    /**
     * Checks tokens by the key in that file.
     *
     * @param wallMillis the wall clock, milliseconds since 1970
     * @throws IOException where the file holds no key of 32 bytes or more
     */
    public Tokens(Path keyFile, LongSupplier wallMillis) throws IOException {
        this.key = Files.readAllBytes(keyFile);
        this.wallMillis = wallMillis;
        if (key.length < LEAST_KEY) {
            throw new IOException(
                    keyFile + ": found a key of " + key.length + " bytes, allowed: " + LEAST_KEY + " or more");
        }
    }

    /** A token; for those who hand them out, and tests. */
    public String make(String tenant, long expiresS) {
        String head = "wh1." + tenant + '.' + expiresS;
        return head + '.' + mac(head);
    }

    /** The tenant of an {@code authorization} header, or null where there is none. */
    public String tenant(String authorization) throws BadTokenException {
        if (authorization == null) {
            return null;
        }
        if (!authorization.startsWith("Bearer ") || authorization.length() > MOST) {
            throw new BadTokenException("authorization: found no bearer token, allowed: Bearer wh1.TENANT.EXPIRES.MAC");
        }
        Matcher token = FORM.matcher(authorization.substring("Bearer ".length()));
        if (!token.matches()) {
            throw new BadTokenException(
                    "authorization: found a token of another form, allowed: wh1.TENANT.EXPIRES.MAC");
        }
        byte[] wanted = mac(token.group(1)).getBytes(StandardCharsets.US_ASCII);
        if (!MessageDigest.isEqual(
                wanted,
                token.group(MAC).getBytes(StandardCharsets.US_ASCII))) { // first: nothing of a forged one is told
            throw new BadTokenException("authorization: found a token whose MAC is wrong");
        }
        long expiresS = Long.parseLong(token.group(EXPIRES));
        if (expiresS * 1000 <= wallMillis.getAsLong()) {
            throw new BadTokenException(
                    "authorization: found a token that expired at " + Instant.ofEpochSecond(expiresS));
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
            throw new IllegalStateException(e);
        }
    }
}

package wharfhinge.worker.pack;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests. */
public final class Digests {

    private Digests() {}

    /** A new SHA-256 digest. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Formats a digest in hexadecimal. */
    public static String hex(byte[] digest) {
        return HexFormat.of().formatHex(digest);
    }

    /** The digest of the bytes, in hexadecimal. */
    public static String of(byte[] bytes) {
        return hex(sha256().digest(bytes));
    }
}

package wharfhinge.worker.pack;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;

/** Ed25519 keys of publishers in PEM files, and signatures made with them. Private keys are never printed or logged. */
public final class Keys {
    private static final String ALGORITHM = "Ed25519";
    private static final Base64.Encoder PEM_BASE64 = Base64.getMimeEncoder(64, new byte[] {'\n'});

    private Keys() {}

    /** Generates a key pair and writes {@code file} (private, readable only by its owner) and {@code file.pub}; neither may exist. */
    public static void generate(Path file) throws IOException {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
            Files.writeString(file, pem("PRIVATE KEY", pair.getPrivate().getEncoded()));
            Files.writeString(
                    file.resolveSibling(file.getFileName() + ".pub"),
                    pem("PUBLIC KEY", pair.getPublic().getEncoded()),
                    StandardOpenOption.CREATE_NEW);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Reads a private key.
     *
     * @throws IOException if the file holds no private key; the message does not show the content
     */
    public static PrivateKey privateKey(Path file) throws IOException {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(pemBody(file, "PRIVATE KEY")));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": not an Ed25519 private key");
        }
    }

    /**
     * Reads a public key.
     *
     * @throws IOException if the file holds no public key
     */
    public static PublicKey publicKey(Path file) throws IOException {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePublic(new X509EncodedKeySpec(pemBody(file, "PUBLIC KEY")));
        } catch (GeneralSecurityException e) {
            throw new IOException(file + ": not an Ed25519 public key");
        }
    }

    private static String pem(String keyType, byte[] encoded) {
        return "-----BEGIN " + keyType + "-----\n" + PEM_BASE64.encodeToString(encoded) + "\n-----END " + keyType
                + "-----\n";
    }

    private static byte[] pemBody(Path file, String keyType) throws IOException {
        String text = Files.readString(file, StandardCharsets.US_ASCII).strip();
        String begin = "-----BEGIN " + keyType + "-----";
        String end = "-----END " + keyType + "-----";
        if (!text.startsWith(begin) || !text.endsWith(end)) {
            throw new IOException(file + ": not a PEM file of a " + keyType.toLowerCase(java.util.Locale.ROOT));
        }
        try {
            return Base64.getMimeDecoder().decode(text.substring(begin.length(), text.length() - end.length()));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": invalid Base64");
        }
    }

    /** Signs the bytes. */
    public static byte[] sign(PrivateKey key, byte[] bytes) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(bytes);
            return signature.sign();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether {@code signature} is a signature of the bytes by the key; false if it is malformed. */
    public static boolean verify(PublicKey key, byte[] bytes, byte[] signature) {
        try {
            Signature check = Signature.getInstance(ALGORITHM);
            check.initVerify(key);
            check.update(bytes);
            return check.verify(signature);
        } catch (GeneralSecurityException e) {
            return false;
        }
    }
}

package wharfhinge.worker.pack;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.security.PublicKey;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.ZipEntry;
import java.util.zip.ZipException;
import java.util.zip.ZipInputStream;

/**
 * Reads and verifies a package: a zip file whose first entry is the {@link Manifest}, whose second may be {@value #SIGNATURE},
 * and whose further entries are exactly the files listed in the manifest. It is read as a stream, so that a different central
 * directory at its end has no effect. Nothing is written to disk, and no more is kept than the manifest states, so that a zip
 * bomb costs no more than its stated size, which is limited.
 */
public final class PackageReader {
    /** Name of the entry that holds the signature of the manifest, 64 bytes. */
    public static final String SIGNATURE = "signature";

    private static final int SIGNATURE_BYTES = 64;

    private PackageReader() {}

    /** The contents of a verified package; {@code files} by path. */
    public record Contents(Manifest manifest, boolean signed, Map<String, byte[]> files) {}

    /**
     * Reads a package to its end.
     *
     * @param trustedKeys keys one of which must have signed the package; if empty, no signature is required
     * @throws InvalidPackageException with the entry and the reason
     */
    public static Contents read(InputStream in, List<PublicKey> trustedKeys)
            throws IOException, InvalidPackageException {
        try {
            return readEntries(new ZipInputStream(in), trustedKeys);
        } catch (ZipException | EOFException | IllegalArgumentException e) {
            throw new InvalidPackageException("zip", "malformed: " + e.getMessage());
        }
    }

    private static Contents readEntries(ZipInputStream zip, List<PublicKey> trustedKeys)
            throws IOException, InvalidPackageException {
        ZipEntry first = zip.getNextEntry();
        if (first == null || !first.getName().equals(Manifest.NAME)) {
            throw new InvalidPackageException("zip", "found no " + Manifest.NAME + " as first entry");
        }
        byte[] manifestBytes = readBounded(zip, Manifest.NAME, Manifest.MAX_BYTES);
        Manifest manifest = Manifest.parse(manifestBytes);
        ZipEntry entry = zip.getNextEntry();
        byte[] signature = null;
        if (entry != null && entry.getName().equals(SIGNATURE)) {
            signature = readBounded(zip, SIGNATURE, SIGNATURE_BYTES);
            entry = zip.getNextEntry();
        }
        checkSignature(manifestBytes, signature, trustedKeys);
        Map<String, byte[]> files = new HashMap<>();
        for (; entry != null; entry = zip.getNextEntry()) {
            String path = entry.getName();
            Manifest.FileEntry stated = manifest.files().get(path);
            if (stated == null || files.containsKey(path)) {
                Manifest.checkPath("zip", path);
                throw new InvalidPackageException(path, stated == null ? "not in the manifest" : "stands twice");
            }
            byte[] bytes = readBounded(zip, path, stated.size());
            if (bytes.length < stated.size()) {
                throw new InvalidPackageException(path, "found " + bytes.length + " bytes, stated: " + stated.size());
            }
            if (!Digests.of(bytes).equals(stated.sha256())) {
                throw new InvalidPackageException(path, "wrong digest");
            }
            files.put(path, bytes);
        }
        for (String path : manifest.files().keySet()) {
            if (!files.containsKey(path)) {
                throw new InvalidPackageException(path, "in the manifest but not in the zip");
            }
        }
        return new Contents(manifest, signature != null, Map.copyOf(files));
    }

    private static void checkSignature(byte[] manifestBytes, byte[] signature, List<PublicKey> trustedKeys)
            throws InvalidPackageException {
        if (trustedKeys.isEmpty()) {
            return;
        }
        if (signature == null) {
            throw new InvalidPackageException(SIGNATURE, "missing, but only signed packages are accepted");
        }
        if (trustedKeys.stream().noneMatch(key -> Keys.verify(key, manifestBytes, signature))) {
            throw new InvalidPackageException(SIGNATURE, "by none of the " + trustedKeys.size() + " trusted keys");
        }
    }

    private static byte[] readBounded(InputStream in, String place, long maxBytes)
            throws IOException, InvalidPackageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream((int) Math.min(maxBytes, 8192));
        byte[] buffer = new byte[8192];
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            if (out.size() + count > maxBytes) {
                throw new InvalidPackageException(place, "unpacks to more than " + maxBytes + " bytes");
            }
            out.write(buffer, 0, count);
        }
        return out.toByteArray();
    }
}

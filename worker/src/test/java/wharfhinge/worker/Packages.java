package wharfhinge.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.security.PrivateKey;
import java.util.Map;
import java.util.TreeMap;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.Manifest;
import wharfhinge.worker.pack.PackageBuilder;

/** Builds packages of the classes in {@link TestFunctions}. */
public final class Packages {

    private Packages() {}

    /** The files of a package whose entry is a nested class of {@link TestFunctions}. */
    public static Map<String, byte[]> files(Class<?> entry) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        String path = entry.getName().replace('.', '/') + ".class";
        try (InputStream in = entry.getClassLoader().getResourceAsStream(path)) {
            files.put("classes/" + path, in.readAllBytes());
        }
        return files;
    }

    /** A manifest without files. */
    public static Manifest manifest(Class<?> entry, int memoryMb, int slots, int callMillis, int startMillis) {
        return new Manifest(
                "test", "1", entry.getName(), memoryMb, slots, "idempotent", callMillis, startMillis, Map.of());
    }

    /** A complete package. */
    public static byte[] bytes(Class<?> entry, int memoryMb, int slots, int callMillis, int startMillis, PrivateKey key)
            throws IOException, InvalidPackageException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(entry, memoryMb, slots, callMillis, startMillis, key, out);
        return out.toByteArray();
    }

    static void write(
            Class<?> entry, int memoryMb, int slots, int callMillis, int startMillis, PrivateKey key, OutputStream out)
            throws IOException, InvalidPackageException {
        PackageBuilder.write(manifest(entry, memoryMb, slots, callMillis, startMillis), files(entry), key, out);
    }
}

package wharfhinge.worker.pack;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.PrivateKey;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;

/** Builds packages. The same input always gives the same bytes. */
public final class PackageBuilder {
    private static final long ENTRY_TIME_MILLIS = 315_532_800_000L; // 1980, the earliest time of the zip format

    private PackageBuilder() {}

    /** The files below a folder by their paths in a package. */
    public static Map<String, byte[]> classes(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        List<Path> found;
        try (Stream<Path> walk = Files.walk(folder)) {
            found = walk.filter(Files::isRegularFile).sorted().collect(Collectors.toList());
        }
        for (Path file : found) {
            files.put("classes/" + folder.relativize(file).toString().replace('\\', '/'), Files.readAllBytes(file));
        }
        return files;
    }

    /**
     * Writes a package.
     *
     * @param description the manifest without files; files in it are ignored
     * @param key         key to sign with; null for an unsigned package
     * @return the manifest of the package
     * @throws InvalidPackageException if a worker would reject the package
     */
    public static Manifest write(Manifest description, Map<String, byte[]> files, PrivateKey key, OutputStream out)
            throws IOException, InvalidPackageException {
        Map<String, Manifest.FileEntry> entries = new TreeMap<>();
        files.forEach((path, bytes) -> entries.put(path, new Manifest.FileEntry(Digests.of(bytes), bytes.length)));
        Manifest manifest = new Manifest(
                description.name(),
                description.version(),
                description.entry(),
                description.memoryMb(),
                description.slots(),
                description.effect(),
                description.callMillis(),
                description.startMillis(),
                entries);
        byte[] manifestBytes = manifest.format();
        Manifest.parse(manifestBytes);
        ZipOutputStream zip = new ZipOutputStream(out, StandardCharsets.UTF_8);
        putEntry(zip, Manifest.NAME, manifestBytes);
        if (key != null) {
            putEntry(zip, PackageReader.SIGNATURE, Keys.sign(key, manifestBytes));
        }
        for (String path : entries.keySet()) {
            putEntry(zip, path, files.get(path));
        }
        zip.finish();
        zip.flush();
        return manifest;
    }

    private static void putEntry(ZipOutputStream zip, String name, byte[] bytes) throws IOException {
        ZipEntry entry = new ZipEntry(name);
        entry.setTime(ENTRY_TIME_MILLIS);
        zip.putNextEntry(entry);
        zip.write(bytes);
        zip.closeEntry();
    }
}

package wharfhinge.worker.image;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Cache of packages on disk, as files {@code NAME@SHA256.pkg}. Its total size is limited; the least recently used files are
 * evicted first. A file gets this name by a rename, only after it was written, verified and forced to disk, so that an
 * incomplete file is never used, whenever the process ends. An incomplete fetch is kept as {@code .part} and can be resumed,
 * also after a restart. Thread-safe, provided that only one thread writes the files of a function at a time, which
 * {@link Images} ensures.
 */
public final class ImageCache {
    private static final Pattern FILE_NAME = Pattern.compile("([A-Za-z0-9._-]{1,128})@([0-9a-f]{64})\\.(pkg|part)");

    /** Opens a file for writing; tests replace it to simulate a full disk. */
    interface FileOpener {
        OutputStream openForAppend(Path file) throws IOException;
    }

    private record Entry(Path path, long size, FileTime lastUsed) {}

    private final Path folder;
    private final long maxBytes;
    private final FileOpener fileOpener;

    /** Creates a cache in a folder, which is created if it is missing. Files in it that are not images are left unchanged. */
    public ImageCache(Path folder, long maxBytes) throws IOException {
        this(
                folder,
                maxBytes,
                file -> Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    ImageCache(Path folder, long maxBytes, FileOpener fileOpener) throws IOException {
        this.folder = Files.createDirectories(folder);
        this.maxBytes = maxBytes;
        this.fileOpener = fileOpener;
        evictFor(0);
    }

    /** The digest of a function's most recently used image, or null. */
    String newestDigest(String function) throws IOException {
        return list().stream()
                .filter(e -> e.path.getFileName().toString().startsWith(function + '@')
                        && e.path.toString().endsWith(".pkg"))
                .max(Comparator.comparing(Entry::lastUsed))
                .map(e -> digest(e.path))
                .orElse(null);
    }

    private static String digest(Path path) {
        Matcher matcher = FILE_NAME.matcher(path.getFileName().toString());
        return matcher.matches() ? matcher.group(2) : null;
    }

    /**
     * The file of a complete image, which is marked as used. The mark is wall-clock time: after a step of the clock another image
     * than the least recently used may be evicted, and must be fetched again.
     */
    Path openImage(String function, String sha256) throws IOException {
        Path file = path(function, sha256, "pkg");
        Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis()));
        return file;
    }

    /** Number of bytes of an incomplete image that are on disk. */
    long partialSize(String function, String sha256) throws IOException {
        Path partial = path(function, sha256, "part");
        return Files.exists(partial) ? Files.size(partial) : 0;
    }

    /** Opens an incomplete image to append to it, after evicting other images to make room for all of it. */
    OutputStream append(String function, String sha256, long totalSize) throws IOException {
        if (totalSize > maxBytes) {
            throw new IOException("image of " + totalSize + " bytes, the cache holds " + maxBytes);
        }
        evictFor(totalSize - partialSize(function, sha256));
        return fileOpener.openForAppend(path(function, sha256, "part"));
    }

    /** Deletes an incomplete image. */
    void deletePartial(String function, String sha256) throws IOException {
        Files.deleteIfExists(path(function, sha256, "part"));
    }

    /** The file of a fetched image that is to be verified before {@link #complete}. */
    Path partialFile(String function, String sha256) {
        return path(function, sha256, "part");
    }

    /** Makes a verified image available: forces it to disk, renames it and deletes other images of the function. */
    void complete(String function, String sha256) throws IOException {
        Path partial = path(function, sha256, "part");
        try (FileChannel channel = FileChannel.open(partial, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(partial, path(function, sha256, "pkg"), StandardCopyOption.ATOMIC_MOVE);
        for (Entry entry : list()) {
            boolean isOlder = entry.path.getFileName().toString().startsWith(function + '@')
                    && !sha256.equals(digest(entry.path));
            if (isOlder) {
                Files.deleteIfExists(entry.path);
            }
        }
    }

    /** Deletes an image that is damaged or was withdrawn from the store. */
    void delete(String function, String sha256) throws IOException {
        Files.deleteIfExists(path(function, sha256, "pkg"));
    }

    /** Total size of all files of the cache. */
    public long totalBytes() throws IOException {
        return list().stream().mapToLong(Entry::size).sum();
    }

    private Path path(String function, String sha256, String extension) {
        return folder.resolve(function + '@' + sha256 + '.' + extension);
    }

    private synchronized void evictFor(long neededBytes) throws IOException {
        List<Entry> entries = new ArrayList<>(list());
        entries.sort(Comparator.comparing(Entry::lastUsed));
        long bytes = entries.stream().mapToLong(Entry::size).sum();
        for (Entry entry : entries) {
            if (bytes + neededBytes <= maxBytes) {
                return;
            }
            Files.deleteIfExists(entry.path);
            bytes -= entry.size;
        }
    }

    private List<Entry> list() throws IOException {
        List<Entry> entries = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> stream = Files.list(folder)) {
            files = stream.filter(
                            p -> FILE_NAME.matcher(p.getFileName().toString()).matches())
                    .collect(Collectors.toList());
        }
        for (Path file : files) {
            try {
                entries.add(new Entry(file, Files.size(file), Files.getLastModifiedTime(file)));
            } catch (java.nio.file.NoSuchFileException e) {
                continue; // deleted in the meantime
            }
        }
        return entries;
    }
}

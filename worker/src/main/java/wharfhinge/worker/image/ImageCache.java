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
 * Packages on disk, {@code NAME@SHA256.pkg}, bounded by bytes; those used longest ago go first. A file gets that name only by
 * a rename after it was written, checked and forced to disk, so that a half-written one is never taken for whole, whenever
 * the process ends; what was fetched of it so far is {@code .part} and goes on where it broke, also after a restart. Any
 * thread; each function's files are written by one at a time, which {@link Images} sees to.
 */
public final class ImageCache {
    private static final Pattern FILE_NAME = Pattern.compile("([A-Za-z0-9._-]{1,128})@([0-9a-f]{64})\\.(pkg|part)");

    /** Opens a file for writing; tests put a disk that is full in its place. */
    interface FileOpener {
        OutputStream openForAppend(Path file) throws IOException;
    }

    private record Entry(Path path, long size, FileTime lastUsed) {}

    private final Path folder;
    private final long maxBytes;
    private final FileOpener fileOpener;

    /** Uses a folder, which is made where it is missing. Files in it that are not images are left alone. */
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

    /** The digest of the image of a function that was used last, or null. */
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

    /** A whole image; marks it used. After a step of the wall clock another image may be evicted first, and is fetched again. */
    Path openImage(String function, String sha256) throws IOException {
        Path file = path(function, sha256, "pkg");
        Files.setLastModifiedTime(file, FileTime.fromMillis(System.currentTimeMillis()));
        return file;
    }

    /** How much of an image is there already. */
    long partialSize(String function, String sha256) throws IOException {
        Path partial = path(function, sha256, "part");
        return Files.exists(partial) ? Files.size(partial) : 0;
    }

    /** Takes more of an image, after what is there; makes room for the whole first. */
    OutputStream append(String function, String sha256, long totalSize) throws IOException {
        if (totalSize > maxBytes) {
            throw new IOException("image of " + totalSize + " bytes, the cache holds " + maxBytes);
        }
        evictFor(totalSize - partialSize(function, sha256));
        return fileOpener.openForAppend(path(function, sha256, "part"));
    }

    /** What was fetched is not to be used. */
    void deletePartial(String function, String sha256) throws IOException {
        Files.deleteIfExists(path(function, sha256, "part"));
    }

    /** The part to be checked before {@link #complete}. */
    Path partialFile(String function, String sha256) {
        return path(function, sha256, "part");
    }

    /** A part was found whole: forced to disk and renamed, and older images of the function are dropped. */
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

    /** An image was found damaged, or withdrawn. */
    void delete(String function, String sha256) throws IOException {
        Files.deleteIfExists(path(function, sha256, "pkg"));
    }

    /** Bytes on disk. */
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
                continue; // dropped meanwhile
            }
        }
        return entries;
    }
}

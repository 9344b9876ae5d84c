package wharfhinge.worker.image;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.PublicKey;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import wharfhinge.worker.pack.Digests;
import wharfhinge.worker.pack.InvalidPackageException;
import wharfhinge.worker.pack.PackageReader;

/**
 * Gives checked packages by function name. Two that want one function at once share one fetch. What is on disk is used
 * without asking while it is fresh, and also when the store does not answer, turns away or breaks; it is checked anew at
 * each use, since disks rot, and a damaged one is dropped and fetched again.
 */
public final class Images {
    private final ImageCache cache;
    private final StoreClient store;
    private final List<PublicKey> trusted;
    private final long fetchNanos;
    private final long freshNanos;
    private final Map<String, CompletableFuture<Image>> underWay = new ConcurrentHashMap<>();
    private final Map<String, Long> checkedAt = new ConcurrentHashMap<>();

    /**
     * A checked package and what it took.
     *
     * @param fetchNanos  waiting for the store, 0 where nothing was fetched
     * @param verifyNanos reading and checking
     */
    public record Image(String sha256, PackageReader.Contents contents, long fetchNanos, long verifyNanos) {}

    /**
     * Images from a store.
     *
     * @param trusted keys of publishers; empty takes unsigned packages
     * @param fetchNanos limit of a fetch with all its tries
     * @param freshNanos how long what is on disk is used without asking the store
     */
    public Images(ImageCache cache, String storeUrl, List<PublicKey> trusted, long fetchNanos, long freshNanos) {
        this.cache = cache;
        this.store = new StoreClient(storeUrl, cache);
        this.trusted = List.copyOf(trusted);
        this.fetchNanos = fetchNanos;
        this.freshNanos = freshNanos;
    }

    /** Blocks until a function's package is there and checked. */
    public Image get(String function) throws LoadFailedException {
        CompletableFuture<Image> mine = new CompletableFuture<>();
        CompletableFuture<Image> first = underWay.putIfAbsent(function, mine);
        if (first != null) {
            return join(first);
        }
        try {
            mine.complete(find(function));
        } catch (LoadFailedException e) {
            mine.completeExceptionally(e);
        } catch (IOException e) {
            mine.completeExceptionally(new LoadFailedException(function + ": " + e.getMessage(), e));
        } catch (RuntimeException | Error e) {
            mine.completeExceptionally(new LoadFailedException(function + ": " + e, e));
        } finally {
            underWay.remove(function, mine);
        }
        return join(mine);
    }

    private static Image join(CompletableFuture<Image> future) throws LoadFailedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new LoadFailedException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new LoadFailedException("interrupted", e);
        }
    }

    private Image find(String function) throws IOException, LoadFailedException {
        String known = cache.newest(function);
        Long checked = checkedAt.get(function);
        boolean fresh = known != null && checked != null && System.nanoTime() - checked < freshNanos;
        Image stands = null;
        if (known != null) {
            stands = onDisk(function, known);
            if (fresh && stands != null) {
                return stands;
            }
        }
        long began = System.nanoTime();
        try {
            StoreClient.Result got = store.fetch(function, stands == null ? null : known, began + fetchNanos(stands));
            long took = System.nanoTime() - began;
            return switch (got.got()) {
                case SAME -> {
                    checkedAt.put(function, System.nanoTime());
                    yield new Image(known, stands.contents, took, stands.verifyNanos);
                }
                case NEW -> fetched(function, got.sha256(), took);
                case WITHDRAWN -> {
                    if (known != null) {
                        cache.drop(function, known);
                    }
                    throw new LoadFailedException(function + ": the store has no such package", null);
                }
            };
        } catch (IOException e) {
            if (stands != null) {
                return stands; // better what there was than nothing; the store is asked again next time
            }
            throw e;
        }
    }

    /** With an image at hand a store in trouble is not waited for as long. */
    private long fetchNanos(Image stands) {
        return stands == null ? fetchNanos : fetchNanos / 4;
    }

    private Image onDisk(String function, String sha256) throws IOException {
        long began = System.nanoTime();
        try {
            PackageReader.Contents contents = check(cache.whole(function, sha256), sha256);
            return new Image(sha256, contents, 0, System.nanoTime() - began);
        } catch (InvalidPackageException | IOException e) {
            cache.drop(function, sha256); // damaged on disk, or of a publisher who is trusted no more
            return null;
        }
    }

    private Image fetched(String function, String sha256, long took) throws IOException, LoadFailedException {
        long began = System.nanoTime();
        try {
            PackageReader.Contents contents = check(cache.part(function, sha256), sha256);
            cache.complete(function, sha256);
            checkedAt.put(function, System.nanoTime());
            return new Image(sha256, contents, took, System.nanoTime() - began);
        } catch (InvalidPackageException e) {
            cache.dropPart(function, sha256);
            throw new LoadFailedException(function + ": package refused: " + e.getMessage(), e);
        }
    }

    private PackageReader.Contents check(Path file, String sha256) throws IOException, InvalidPackageException {
        MessageDigest digest = Digests.sha256();
        try (InputStream in =
                new DigestInputStream(new BufferedInputStream(Files.newInputStream(file), 64 << 10), digest)) {
            PackageReader.Contents contents;
            try {
                contents = PackageReader.read(in, trusted);
            } finally {
                in.transferTo(java.io.OutputStream.nullOutputStream());
            }
            if (!Digests.hex(digest.digest()).equals(sha256)) {
                throw new InvalidPackageException("file", "not what the store's entity tag says");
            }
            return contents;
        }
    }
}

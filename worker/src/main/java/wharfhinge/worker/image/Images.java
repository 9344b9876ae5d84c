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
    private final List<PublicKey> trustedKeys;
    private final long fetchTimeoutNanos;
    private final long freshNanos;
    private final Map<String, CompletableFuture<Image>> fetchesInProgress = new ConcurrentHashMap<>();
    private final Map<String, Long> storeCheckedAt = new ConcurrentHashMap<>();

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
    public Images(
            ImageCache cache, String storeUrl, List<PublicKey> trustedKeys, long fetchTimeoutNanos, long freshNanos) {
        this.cache = cache;
        this.store = new StoreClient(storeUrl, cache);
        this.trustedKeys = List.copyOf(trustedKeys);
        this.fetchTimeoutNanos = fetchTimeoutNanos;
        this.freshNanos = freshNanos;
    }

    /** Blocks until a function's package is there and checked. */
    public Image get(String function) throws LoadFailedException {
        CompletableFuture<Image> ownFetch = new CompletableFuture<>();
        CompletableFuture<Image> otherFetch = fetchesInProgress.putIfAbsent(function, ownFetch);
        if (otherFetch != null) {
            return join(otherFetch);
        }
        try {
            ownFetch.complete(findImage(function));
        } catch (LoadFailedException e) {
            ownFetch.completeExceptionally(e);
        } catch (IOException e) {
            ownFetch.completeExceptionally(new LoadFailedException(function + ": " + e.getMessage(), e));
        } catch (RuntimeException | Error e) {
            ownFetch.completeExceptionally(new LoadFailedException(function + ": " + e, e));
        } finally {
            fetchesInProgress.remove(function, ownFetch);
        }
        return join(ownFetch);
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

    private Image findImage(String function) throws IOException, LoadFailedException {
        String knownDigest = cache.newestDigest(function);
        Long checkedAt = storeCheckedAt.get(function);
        boolean isFresh = knownDigest != null && checkedAt != null && System.nanoTime() - checkedAt < freshNanos;
        Image diskImage = null;
        if (knownDigest != null) {
            diskImage = readFromDisk(function, knownDigest);
            if (isFresh && diskImage != null) {
                return diskImage;
            }
        }
        long startedAt = System.nanoTime();
        try {
            StoreClient.Result result = store.fetch(
                    function, diskImage == null ? null : knownDigest, startedAt + fetchTimeoutNanos(diskImage));
            long elapsedNanos = System.nanoTime() - startedAt;
            return switch (result.status()) {
                case UNCHANGED -> {
                    storeCheckedAt.put(function, System.nanoTime());
                    yield new Image(knownDigest, diskImage.contents, elapsedNanos, diskImage.verifyNanos);
                }
                case NEW -> acceptFetched(function, result.sha256(), elapsedNanos);
                case WITHDRAWN -> {
                    if (knownDigest != null) {
                        cache.delete(function, knownDigest);
                    }
                    throw new LoadFailedException(function + ": the store has no such package", null);
                }
            };
        } catch (IOException e) {
            if (diskImage != null) {
                return diskImage; // better what there was than nothing; the store is asked again next time
            }
            throw e;
        }
    }

    /** With an image at hand a store in trouble is not waited for as long. */
    private long fetchTimeoutNanos(Image diskImage) {
        return diskImage == null ? fetchTimeoutNanos : fetchTimeoutNanos / 4;
    }

    private Image readFromDisk(String function, String sha256) throws IOException {
        long startedAt = System.nanoTime();
        try {
            PackageReader.Contents contents = check(cache.openImage(function, sha256), sha256);
            return new Image(sha256, contents, 0, System.nanoTime() - startedAt);
        } catch (InvalidPackageException | IOException e) {
            cache.delete(function, sha256); // damaged on disk, or of a publisher who is trusted no more
            return null;
        }
    }

    private Image acceptFetched(String function, String sha256, long elapsedNanos)
            throws IOException, LoadFailedException {
        long startedAt = System.nanoTime();
        try {
            PackageReader.Contents contents = check(cache.partialFile(function, sha256), sha256);
            cache.complete(function, sha256);
            storeCheckedAt.put(function, System.nanoTime());
            return new Image(sha256, contents, elapsedNanos, System.nanoTime() - startedAt);
        } catch (InvalidPackageException e) {
            cache.deletePartial(function, sha256);
            throw new LoadFailedException(function + ": package refused: " + e.getMessage(), e);
        }
    }

    private PackageReader.Contents check(Path file, String sha256) throws IOException, InvalidPackageException {
        MessageDigest digest = Digests.sha256();
        try (InputStream in =
                new DigestInputStream(new BufferedInputStream(Files.newInputStream(file), 64 << 10), digest)) {
            PackageReader.Contents contents;
            try {
                contents = PackageReader.read(in, trustedKeys);
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

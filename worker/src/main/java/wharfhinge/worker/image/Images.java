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
 * Provides verified packages by function name. Concurrent requests for one function share one fetch. An image on disk is used
 * without asking the store while it is fresh, and also if the store does not answer, rejects the request or breaks off its
 * response. It is verified again at each use, since data on disk may become corrupt; a damaged image is deleted and fetched
 * again.
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
     * A verified package and the time that it took to provide it.
     *
     * @param fetchNanos  time spent waiting for the store; 0 if the image was used without its answer
     * @param verifyNanos time spent reading and verifying
     */
    public record Image(String sha256, PackageReader.Contents contents, long fetchNanos, long verifyNanos) {}

    /**
     * Creates a source of images that fetches from a store.
     *
     * @param trustedKeys       keys of trusted publishers; if empty, unsigned packages are accepted
     * @param fetchTimeoutNanos limit of a fetch with all its retries
     * @param freshNanos        how long an image on disk is used without asking the store
     */
    public Images(
            ImageCache cache, String storeUrl, List<PublicKey> trustedKeys, long fetchTimeoutNanos, long freshNanos) {
        this.cache = cache;
        this.store = new StoreClient(storeUrl, cache);
        this.trustedKeys = List.copyOf(trustedKeys);
        this.fetchTimeoutNanos = fetchTimeoutNanos;
        this.freshNanos = freshNanos;
    }

    /** Returns the verified package of a function. Blocks while it is fetched. */
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
                return diskImage; // an older image is better than none; the next load asks the store again
            }
            throw e;
        }
    }

    /** The fetch time-out, which is shorter if an image on disk can be used instead. */
    private long fetchTimeoutNanos(Image diskImage) {
        return diskImage == null ? fetchTimeoutNanos : fetchTimeoutNanos / 4;
    }

    private Image readFromDisk(String function, String sha256) throws IOException {
        long startedAt = System.nanoTime();
        try {
            PackageReader.Contents contents = verify(cache.openImage(function, sha256), sha256);
            return new Image(sha256, contents, 0, System.nanoTime() - startedAt);
        } catch (InvalidPackageException | IOException e) {
            cache.delete(function, sha256); // damaged, or signed by a publisher that is no longer trusted
            return null;
        }
    }

    private Image acceptFetched(String function, String sha256, long elapsedNanos)
            throws IOException, LoadFailedException {
        long startedAt = System.nanoTime();
        try {
            PackageReader.Contents contents = verify(cache.partialFile(function, sha256), sha256);
            cache.complete(function, sha256);
            storeCheckedAt.put(function, System.nanoTime());
            return new Image(sha256, contents, elapsedNanos, System.nanoTime() - startedAt);
        } catch (InvalidPackageException e) {
            cache.deletePartial(function, sha256);
            throw new LoadFailedException(function + ": package rejected: " + e.getMessage(), e);
        }
    }

    private PackageReader.Contents verify(Path file, String sha256) throws IOException, InvalidPackageException {
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
                throw new InvalidPackageException("file", "digest differs from the store's entity tag");
            }
            return contents;
        }
    }
}

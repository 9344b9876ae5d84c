package wharfhinge.worker.image;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fetches packages from a package store (docs/protocol-store.md). Blocks. The deadline applies to the fetch as a whole, so
 * that a store which sends only a byte now and then cannot prolong it.
 */
final class StoreClient {
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int READ_TIMEOUT_MS = 1000;
    private static final int INITIAL_BACKOFF_MS = 20;
    private static final int MAX_BACKOFF_MS = 500;
    private static final Pattern TAG = Pattern.compile("\"([0-9a-f]{64})\"");
    private static final Pattern RANGE = Pattern.compile("bytes ([0-9]{1,15})-[0-9]{1,15}/([0-9]{1,15})");

    private final String url;
    private final ImageCache cache;

    StoreClient(String url, ImageCache cache) {
        this.url = url;
        this.cache = cache;
    }

    /** Result of a fetch. */
    enum Status {
        UNCHANGED,
        NEW,
        WITHDRAWN
    }

    /** {@code sha256} is the digest of the image that was fetched and must be verified (NEW) or is still current (UNCHANGED). */
    record Result(Status status, String sha256) {}

    /** The store rejected a request or broke off its response; a further request may succeed. */
    private static final class RetryableException extends IOException {
        private static final long serialVersionUID = 1;

        RetryableException(String message) {
            super(message);
        }
    }

    /**
     * Fetches the current package of a function, with retries until the deadline.
     *
     * @param knownDigest   the digest of the image on disk, or null
     * @param deadlineNanos on {@link System#nanoTime}
     */
    Result fetch(String function, String knownDigest, long deadlineNanos) throws IOException {
        String[] partialDigest = {null};
        int backoffMillis = INITIAL_BACKOFF_MS;
        while (true) {
            long sizeBefore = partialDigest[0] == null ? 0 : cache.partialSize(function, partialDigest[0]);
            try {
                return fetchOnce(function, knownDigest, partialDigest, deadlineNanos);
            } catch (DiskException e) {
                throw e;
            } catch (IOException e) {
                boolean hasProgress =
                        partialDigest[0] != null && cache.partialSize(function, partialDigest[0]) > sizeBefore;
                backoffMillis = hasProgress ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoffMillis * 2);
                if (System.nanoTime() + backoffMillis * 1_000_000L >= deadlineNanos) {
                    throw e;
                }
                try {
                    Thread.sleep(backoffMillis);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    throw e;
                }
            }
        }
    }

    private Result fetchOnce(String function, String knownDigest, String[] partialDigest, long deadlineNanos)
            throws IOException {
        HttpURLConnection connection = (HttpURLConnection)
                URI.create(url + "/packages/" + function).toURL().openConnection();
        connection.setConnectTimeout(CONNECT_TIMEOUT_MS);
        connection.setReadTimeout(READ_TIMEOUT_MS);
        connection.setUseCaches(false);
        connection.setInstanceFollowRedirects(false);
        long partialBytes = partialDigest[0] == null ? 0 : cache.partialSize(function, partialDigest[0]);
        if (partialBytes > 0) {
            connection.setRequestProperty("Range", "bytes=" + partialBytes + "-");
            connection.setRequestProperty("If-Range", '"' + partialDigest[0] + '"');
        }
        if (knownDigest != null) {
            connection.setRequestProperty("If-None-Match", '"' + knownDigest + '"');
        }
        try {
            return handleResponse(function, knownDigest, connection, partialDigest, deadlineNanos);
        } finally {
            InputStream error = connection.getErrorStream();
            if (error != null) {
                error.close();
            }
        }
    }

    private Result handleResponse(
            String function,
            String knownDigest,
            HttpURLConnection connection,
            String[] partialDigest,
            long deadlineNanos)
            throws IOException {
        int status = connection.getResponseCode();
        if (status == 304 && knownDigest != null) {
            return new Result(Status.UNCHANGED, knownDigest);
        }
        if (status == 404) {
            return new Result(Status.WITHDRAWN, null);
        }
        if (status == 416 && partialDigest[0] != null) {
            cache.deletePartial(function, partialDigest[0]);
            throw new RetryableException("store: range not satisfiable");
        }
        if (status != 200 && status != 206) {
            throw new RetryableException("store: status " + status);
        }
        Matcher tagMatcher = TAG.matcher(String.valueOf(connection.getHeaderField("ETag")));
        if (!tagMatcher.matches()) {
            throw new RetryableException("store: entity tag is not a SHA-256 digest");
        }
        String digest = tagMatcher.group(1);
        long totalBytes = connection.getContentLengthLong();
        if (status == 206) {
            Matcher range = RANGE.matcher(String.valueOf(connection.getHeaderField("Content-Range")));
            if (!range.matches()
                    || !digest.equals(partialDigest[0])
                    || Long.parseLong(range.group(1)) != cache.partialSize(function, digest)) {
                throw new RetryableException("store: response has another range than requested");
            }
            totalBytes = Long.parseLong(range.group(2));
        } else if (!digest.equals(partialDigest[0]) && cache.partialSize(function, digest) > 0) {
            partialDigest[0] = digest; // left by an earlier process: request only the rest
            throw new RetryableException("store: resuming an earlier fetch");
        } else {
            cache.deletePartial(function, digest);
        }
        partialDigest[0] = digest;
        download(function, digest, totalBytes, connection.getInputStream(), deadlineNanos);
        return new Result(Status.NEW, digest);
    }

    private void download(String function, String digest, long totalBytes, InputStream responseBody, long deadlineNanos)
            throws IOException {
        byte[] buffer = new byte[64 << 10];
        try (InputStream in = responseBody;
                OutputStream out = open(function, digest, totalBytes)) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                write(out, buffer, count);
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException("store: fetch exceeded its deadline");
                }
            }
        }
        long receivedBytes = cache.partialSize(function, digest);
        if (receivedBytes < totalBytes) {
            throw new RetryableException(
                    "store: response truncated, bytes received: " + receivedBytes + " of " + totalBytes);
        }
    }

    /** An error of the disk, which a retry would not resolve. */
    static final class DiskException extends IOException {
        private static final long serialVersionUID = 1;

        DiskException(IOException cause) {
            super("disk: " + cause.getMessage(), cause);
        }
    }

    private OutputStream open(String function, String digest, long totalBytes) throws IOException {
        try {
            return cache.append(function, digest, totalBytes);
        } catch (IOException e) {
            throw new DiskException(e);
        }
    }

    private void write(OutputStream out, byte[] buffer, int count) throws IOException {
        try {
            out.write(buffer, 0, count);
        } catch (IOException e) {
            throw new DiskException(e);
        }
    }
}

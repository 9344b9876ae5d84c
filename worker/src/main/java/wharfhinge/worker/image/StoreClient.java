package wharfhinge.worker.image;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fetches packages from a store (docs/protocol-store.md). Blocks; the deadline bounds it as a whole, also against a store
 * that sends a byte now and then.
 */
final class StoreClient {
    private static final int CONNECT_MS = 500;
    private static final int READ_MS = 1000;
    private static final int PAUSE_MS = 20;
    private static final int PAUSE_MOST_MS = 500;
    private static final Pattern TAG = Pattern.compile("\"([0-9a-f]{64})\"");
    private static final Pattern RANGE = Pattern.compile("bytes ([0-9]{1,15})-[0-9]{1,15}/([0-9]{1,15})");

    private final String url;
    private final ImageCache cache;

    StoreClient(String url, ImageCache cache) {
        this.url = url;
        this.cache = cache;
    }

    /** What a fetch ended as. */
    enum Got {
        SAME,
        NEW,
        WITHDRAWN
    }

    /** {@code sha256} is that of the image which is now to be checked (NEW) or stands (SAME). */
    record Result(Got got, String sha256) {}

    /** The store turned a fetch away, or broke it. */
    private static final class TryAgain extends IOException {
        private static final long serialVersionUID = 1;

        TryAgain(String message) {
            super(message);
        }
    }

    /**
     * Gets what the store has of a function.
     *
     * @param known the digest of the image on disk, or null
     * @param endNanos on {@link System#nanoTime}
     */
    Result fetch(String function, String known, long endNanos) throws IOException {
        String[] tag = {null};
        int pause = PAUSE_MS;
        while (true) {
            long before = tag[0] == null ? 0 : cache.partSize(function, tag[0]);
            try {
                return once(function, known, tag, endNanos);
            } catch (DiskException e) {
                throw e;
            } catch (IOException e) {
                boolean progress = tag[0] != null && cache.partSize(function, tag[0]) > before;
                pause = progress ? PAUSE_MS : Math.min(PAUSE_MOST_MS, pause * 2);
                if (System.nanoTime() + pause * 1_000_000L >= endNanos) {
                    throw e;
                }
                try {
                    Thread.sleep(pause);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    throw e;
                }
            }
        }
    }

    private Result once(String function, String known, String[] tag, long endNanos) throws IOException {
        HttpURLConnection c = (HttpURLConnection)
                URI.create(url + "/packages/" + function).toURL().openConnection();
        c.setConnectTimeout(CONNECT_MS);
        c.setReadTimeout(READ_MS);
        c.setUseCaches(false);
        c.setInstanceFollowRedirects(false);
        long have = tag[0] == null ? 0 : cache.partSize(function, tag[0]);
        if (have > 0) {
            c.setRequestProperty("Range", "bytes=" + have + "-");
            c.setRequestProperty("If-Range", '"' + tag[0] + '"');
        }
        if (known != null) {
            c.setRequestProperty("If-None-Match", '"' + known + '"');
        }
        try {
            return answer(function, known, c, tag, endNanos);
        } finally {
            InputStream error = c.getErrorStream();
            if (error != null) {
                error.close();
            }
        }
    }

    private Result answer(String function, String known, HttpURLConnection c, String[] tag, long endNanos)
            throws IOException {
        int status = c.getResponseCode();
        if (status == 304 && known != null) {
            return new Result(Got.SAME, known);
        }
        if (status == 404) {
            return new Result(Got.WITHDRAWN, null);
        }
        if (status == 416 && tag[0] != null) {
            cache.dropPart(function, tag[0]);
            throw new TryAgain("store: range not satisfiable");
        }
        if (status != 200 && status != 206) {
            throw new TryAgain("store: status " + status);
        }
        Matcher m = TAG.matcher(String.valueOf(c.getHeaderField("ETag")));
        if (!m.matches()) {
            throw new TryAgain("store: no entity tag of a SHA-256");
        }
        String sha = m.group(1);
        long whole = c.getContentLengthLong();
        if (status == 206) {
            Matcher range = RANGE.matcher(String.valueOf(c.getHeaderField("Content-Range")));
            if (!range.matches()
                    || !sha.equals(tag[0])
                    || Long.parseLong(range.group(1)) != cache.partSize(function, sha)) {
                throw new TryAgain("store: another range than asked for");
            }
            whole = Long.parseLong(range.group(2));
        } else if (!sha.equals(tag[0]) && cache.partSize(function, sha) > 0) {
            tag[0] = sha; // left by an earlier process: ask again for the rest alone
            throw new TryAgain("store: resumed");
        } else {
            cache.dropPart(function, sha);
        }
        tag[0] = sha;
        copy(function, sha, whole, c.getInputStream(), endNanos);
        return new Result(Got.NEW, sha);
    }

    private void copy(String function, String sha, long whole, InputStream from, long endNanos) throws IOException {
        byte[] part = new byte[64 << 10];
        try (InputStream in = from;
                OutputStream out = open(function, sha, whole)) {
            for (int n = in.read(part); n >= 0; n = in.read(part)) {
                write(out, part, n);
                if (System.nanoTime() > endNanos) {
                    throw new IOException("fetch took too long");
                }
            }
        }
        long got = cache.partSize(function, sha);
        if (got < whole) {
            throw new TryAgain("store: broke off at " + got + " of " + whole);
        }
    }

    /** The disk's trouble, which no further fetch mends. */
    static final class DiskException extends IOException {
        private static final long serialVersionUID = 1;

        DiskException(IOException cause) {
            super("disk: " + cause.getMessage(), cause);
        }
    }

    private OutputStream open(String function, String sha, long whole) throws IOException {
        try {
            return cache.append(function, sha, whole);
        } catch (IOException e) {
            throw new DiskException(e);
        }
    }

    private void write(OutputStream out, byte[] part, int n) throws IOException {
        try {
            out.write(part, 0, n);
        } catch (IOException e) {
            throw new DiskException(e);
        }
    }
}

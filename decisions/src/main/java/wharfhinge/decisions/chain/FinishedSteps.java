package wharfhinge.decisions.chain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Answers of finished steps, kept for a while by the key that a client gave its chain, so that a retry does not run them
 * again. Bounded by entries and bytes for each tenant: a tenant beyond its bound loses its own oldest keys, nobody else's.
 * Only this gateway knows them; another one runs the steps anew.
 */
public final class FinishedSteps {
    /** What a step answered. */
    public record Answer(byte[] body, String contentType) {}

    private static final class Entry {
        private final String digest;
        private final Answer[] answers;
        private long bytes;
        private long expires;

        Entry(String digest, int steps) {
            this.digest = digest;
            this.answers = new Answer[steps];
        }
    }

    private final long windowNanos;
    private final int mostKeys;
    private final long mostBytes;
    private final Map<String, LinkedHashMap<String, Entry>> byTenant = new HashMap<>();

    /** Keeps answers for {@code windowNs}, and for each tenant so many keys and bytes at most. */
    public FinishedSteps(long windowNanos, int mostKeys, long mostBytes) {
        this.windowNanos = windowNanos;
        this.mostKeys = mostKeys;
        this.mostBytes = mostBytes;
    }

    /** A step of a keyed chain was answered; {@code digest} names the chain's text. False where it is too large to keep. */
    public boolean finished(long now, String tenant, String key, String digest, int steps, int step, Answer answer) {
        LinkedHashMap<String, Entry> keys = byTenant.computeIfAbsent(tenant, t -> new LinkedHashMap<>());
        forget(now, keys);
        Entry entry = keys.get(key);
        if (entry == null || !entry.digest.equals(digest) || entry.answers.length != steps) {
            entry = new Entry(digest, steps);
        }
        keys.remove(key);
        if (entry.bytes + answer.body().length > mostBytes) {
            return false;
        }
        entry.answers[step] = answer;
        entry.bytes += answer.body().length;
        entry.expires = now + windowNanos;
        keys.put(key, entry);
        while (keys.size() > mostKeys
                || keys.values().stream().mapToLong(e -> e.bytes).sum() > mostBytes) {
            keys.remove(keys.keySet().iterator().next());
        }
        return true;
    }

    /** The answers that a try of this chain may start from; empty where there are none or the chain is another. */
    public Optional<Answer[]> resume(long now, String tenant, String key, String digest, int steps) {
        LinkedHashMap<String, Entry> keys = byTenant.get(tenant);
        if (keys == null) {
            return Optional.empty();
        }
        forget(now, keys);
        Entry entry = keys.get(key);
        return entry == null || !entry.digest.equals(digest) || entry.answers.length != steps
                ? Optional.empty()
                : Optional.of(entry.answers.clone());
    }

    private static void forget(long now, LinkedHashMap<String, Entry> keys) {
        while (!keys.isEmpty() && keys.values().iterator().next().expires <= now) {
            keys.remove(keys.keySet().iterator().next());
        }
    }

    /** Keys kept. */
    public int size() {
        return byTenant.values().stream().mapToInt(Map::size).sum();
    }
}

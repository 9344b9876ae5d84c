package wharfhinge.decisions.chain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the answers of finished steps under the idempotency key that a client gave its chain, so that a retry of the chain does
 * not run these steps again. The keys and the bytes of each tenant are bounded: a tenant beyond a bound loses its own oldest keys
 * with their answers, never those of another tenant. The cache is local to this gateway; a retry on another gateway runs every
 * step again.
 */
public final class StepAnswerCache {
    /** The answer of a step. */
    public record Answer(byte[] body, String contentType) {}

    private static final class CachedChain {
        private final String digest;
        private final Answer[] answers;
        private long bytes;
        private long expiresAtNanos;

        CachedChain(String digest, int steps) {
            this.digest = digest;
            this.answers = new Answer[steps];
        }

        boolean matches(String otherDigest, int steps) {
            return digest.equals(otherDigest) && answers.length == steps;
        }

        void add(int step, Answer answer, long newExpiryNanos) {
            answers[step] = answer;
            bytes += answer.body().length;
            expiresAtNanos = newExpiryNanos;
        }
    }

    private final long windowNanos;
    private final int maxKeysPerTenant;
    private final long maxBytesPerTenant;
    private final Map<String, LinkedHashMap<String, CachedChain>> chainsByTenant = new HashMap<>();

    /** Creates a cache that keeps answers for {@code windowNanos}, within limits of keys and bytes for each tenant. */
    public StepAnswerCache(long windowNanos, int maxKeysPerTenant, long maxBytesPerTenant) {
        this.windowNanos = windowNanos;
        this.maxKeysPerTenant = maxKeysPerTenant;
        this.maxBytesPerTenant = maxBytesPerTenant;
    }

    /**
     * Caches the answer of a step of a chain that has an idempotency key.
     *
     * @param digest digest of the chain's text: the same key with another text is another chain, which replaces the former one
     * @param steps  number of steps of the chain
     * @return false if the chain's answers are too large to be cached; its earlier answers are then dropped as well
     */
    public boolean put(long nowNanos, String tenant, String key, String digest, int steps, int step, Answer answer) {
        LinkedHashMap<String, CachedChain> chains =
                chainsByTenant.computeIfAbsent(tenant, absent -> new LinkedHashMap<>());
        removeExpired(nowNanos, chains);
        CachedChain known = chains.remove(key);
        CachedChain chain = known != null && known.matches(digest, steps) ? known : new CachedChain(digest, steps);
        if (chain.bytes + answer.body().length > maxBytesPerTenant) {
            return false;
        }
        chain.add(step, answer, nowNanos + windowNanos);
        chains.put(key, chain);
        while (chains.size() > maxKeysPerTenant || totalBytes(chains) > maxBytesPerTenant) {
            removeOldest(chains);
        }
        return true;
    }

    /**
     * The cached answers of a chain, indexed by step and null for each step without one, for a retry to start from. Empty if no
     * answer is cached or the key belongs to another chain.
     */
    public Optional<Answer[]> get(long nowNanos, String tenant, String key, String digest, int steps) {
        LinkedHashMap<String, CachedChain> chains = chainsByTenant.get(tenant);
        if (chains == null) {
            return Optional.empty();
        }
        removeExpired(nowNanos, chains);
        return Optional.ofNullable(chains.get(key))
                .filter(chain -> chain.matches(digest, steps))
                .map(chain -> chain.answers.clone());
    }

    private static long totalBytes(Map<String, CachedChain> chains) {
        return chains.values().stream().mapToLong(chain -> chain.bytes).sum();
    }

    private static void removeExpired(long nowNanos, LinkedHashMap<String, CachedChain> chains) {
        while (!chains.isEmpty() && chains.values().iterator().next().expiresAtNanos <= nowNanos) {
            removeOldest(chains);
        }
    }

    private static void removeOldest(LinkedHashMap<String, CachedChain> chains) {
        chains.remove(chains.keySet().iterator().next());
    }

    /** Number of cached keys of all tenants. */
    public int size() {
        return chainsByTenant.values().stream().mapToInt(Map::size).sum();
    }
}

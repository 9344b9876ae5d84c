package wharfhinge.decisions.chain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Cache of the answers of finished steps by the idempotency key that a client gave its chain, so that a retry does not run them
 * again. Bounded by keys and bytes for each tenant: a tenant beyond its bound loses its own oldest keys, nobody else's. Only this
 * gateway knows them; another one runs the steps again.
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

        boolean isOf(String otherDigest, int steps) {
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

    /** Caches answers for {@code windowNanos}, and for each tenant so many keys and bytes at most. */
    public StepAnswerCache(long windowNanos, int maxKeysPerTenant, long maxBytesPerTenant) {
        this.windowNanos = windowNanos;
        this.maxKeysPerTenant = maxKeysPerTenant;
        this.maxBytesPerTenant = maxBytesPerTenant;
    }

    /**
     * A step of a chain with a key was answered.
     *
     * @param digest of the chain's text: the same key with another text is another chain, and replaces the former
     * @param steps  number of steps of the chain
     * @return false where the answer is too large to be cached, and the chain's earlier answers are dropped with it
     */
    public boolean put(long nowNanos, String tenant, String key, String digest, int steps, int step, Answer answer) {
        LinkedHashMap<String, CachedChain> chains =
                chainsByTenant.computeIfAbsent(tenant, absent -> new LinkedHashMap<>());
        removeExpired(nowNanos, chains);
        CachedChain known = chains.remove(key);
        CachedChain chain = known != null && known.isOf(digest, steps) ? known : new CachedChain(digest, steps);
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

    /** The answers that a retry of this chain may start from; empty where there are none or the chain is another. */
    public Optional<Answer[]> get(long nowNanos, String tenant, String key, String digest, int steps) {
        LinkedHashMap<String, CachedChain> chains = chainsByTenant.get(tenant);
        if (chains == null) {
            return Optional.empty();
        }
        removeExpired(nowNanos, chains);
        return Optional.ofNullable(chains.get(key))
                .filter(chain -> chain.isOf(digest, steps))
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

    /** Keys cached, of all tenants. */
    public int size() {
        return chainsByTenant.values().stream().mapToInt(Map::size).sum();
    }
}

package wharfhinge.decisions.chain;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FinishedStepsTest {
    @Test
    void answers_areCachedForTheirWindowWithinTenantBounds() {
        StepAnswerCache cache = new StepAnswerCache(1000, 2, 100);
        StepAnswerCache.Answer answer = new StepAnswerCache.Answer(new byte[30], null);
        assertTrue(cache.put(0, "t", "k", "d", 2, 1, answer));
        assertArrayEquals(
                new StepAnswerCache.Answer[] {null, answer},
                cache.get(500, "t", "k", "d", 2).orElseThrow());
        assertFalse(cache.get(500, "t", "k", "other", 2).isPresent(), "another chain under the same key");
        assertFalse(cache.get(500, "u", "k", "d", 2).isPresent(), "another tenant");
        assertFalse(cache.get(1000, "t", "k", "d", 2).isPresent(), "the answer has expired");
        cache.put(0, "t", "k1", "d", 1, 0, answer);
        cache.put(0, "u", "k1", "d", 1, 0, answer);
        cache.put(0, "t", "k2", "d", 1, 0, answer);
        cache.put(0, "t", "k3", "d", 1, 0, answer);
        assertFalse(cache.get(1, "t", "k1", "d", 1).isPresent(), "the oldest key is dropped");
        assertTrue(cache.get(1, "u", "k1", "d", 1).isPresent(), "the keys of another tenant stay");
        assertFalse(cache.put(0, "t", "k4", "d", 1, 0, new StepAnswerCache.Answer(new byte[101], null)));
    }
}

package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The selection against its definition: take the longest idle until they suffice, then spare what is not needed. */
class EvictionPolicyPropertiesTest {

    @Property(tries = 2000, seed = "5")
    void select_takesLongestIdleAndNoneUnneeded(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll @IntRange(min = -5, max = 200) int needed) {
        List<EvictionPolicy.IdleCopy> idle = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            idle.add(new EvictionPolicy.IdleCopy(i, sizes.get(i), (i * 7) % 5));
        }
        Optional<List<Long>> selection = EvictionPolicy.select(idle, needed);
        int all = sizes.stream().mapToInt(Integer::intValue).sum();
        if (needed > all) {
            assertEquals(Optional.empty(), selection);
            return;
        }
        List<Long> victims = selection.orElseThrow();
        long sum = victims.stream()
                .mapToLong(c -> idle.get((int) (long) c).memoryKb())
                .sum();
        assertTrue(sum >= needed);
        for (long victim : victims) {
            assertTrue(sum - idle.get((int) victim).memoryKb() < needed, victim + " went in vain");
        }
        // whoever stays although idle longer than one that goes was too small to spare it
        List<EvictionPolicy.IdleCopy> longestIdleFirst = new ArrayList<>(idle);
        longestIdleFirst.sort((a, b) -> a.idleSinceNanos() != b.idleSinceNanos()
                ? Long.compare(a.idleSinceNanos(), b.idleSinceNanos())
                : Long.compare(a.copy(), b.copy()));
        long taken = 0;
        int considered = 0;
        while (taken < needed) {
            taken += longestIdleFirst.get(considered++).memoryKb();
        }
        for (long victim : victims) {
            int at = considered;
            for (int i = 0; i < considered; i++) {
                at = longestIdleFirst.get(i).copy() == victim ? i : at;
            }
            assertTrue(at < considered, "a copy was evicted that is not among the longest idle");
        }
        assertEquals(victims.size(), victims.stream().distinct().count());
    }
}

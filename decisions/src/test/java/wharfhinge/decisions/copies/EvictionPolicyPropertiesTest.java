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

/** Checks the selection against its definition: the longest idle copies until they suffice, less those that are not needed. */
class EvictionPolicyPropertiesTest {

    @Property(tries = 2000, seed = "5")
    void select_takesLongestIdleAndNoneUnneeded(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll @IntRange(min = -5, max = 200) int neededKb) {
        List<EvictionPolicy.IdleCopy> idle = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            idle.add(new EvictionPolicy.IdleCopy(i, sizes.get(i), (i * 7) % 5));
        }
        Optional<List<Long>> selection = EvictionPolicy.select(idle, neededKb);
        int totalKb = sizes.stream().mapToInt(Integer::intValue).sum();
        if (neededKb > totalKb) {
            assertEquals(Optional.empty(), selection);
            return;
        }
        List<Long> victims = selection.orElseThrow();
        long freedKb = victims.stream()
                .mapToLong(c -> idle.get((int) (long) c).memoryKb())
                .sum();
        assertTrue(freedKb >= neededKb);
        for (long victim : victims) {
            assertTrue(freedKb - idle.get((int) victim).memoryKb() < neededKb, victim + " was evicted needlessly");
        }
        // each evicted copy must be among the longest idle copies that are considered until they suffice
        List<EvictionPolicy.IdleCopy> longestIdleFirst = new ArrayList<>(idle);
        longestIdleFirst.sort((a, b) -> a.idleSinceNanos() != b.idleSinceNanos()
                ? Long.compare(a.idleSinceNanos(), b.idleSinceNanos())
                : Long.compare(a.copy(), b.copy()));
        long consideredKb = 0;
        int considered = 0;
        while (consideredKb < neededKb) {
            consideredKb += longestIdleFirst.get(considered++).memoryKb();
        }
        for (long victim : victims) {
            int position = considered;
            for (int i = 0; i < considered; i++) {
                position = longestIdleFirst.get(i).copy() == victim ? i : position;
            }
            assertTrue(position < considered, "a copy was evicted that is not among the longest idle");
        }
        assertEquals(victims.size(), victims.stream().distinct().count());
    }
}

package wharfhinge.decisions.copies;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Evictions against a plain model: take the eldest until it is enough, then put back what is not needed. */
class EvictionsPropertiesTest {

    @Property(tries = 2000, seed = "5")
    void theEldestGoAndNoneInVain(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll @IntRange(min = -5, max = 200) int needed) {
        List<Evictions.Idle> idle = new ArrayList<>();
        for (int i = 0; i < sizes.size(); i++) {
            idle.add(new Evictions.Idle(i, sizes.get(i), (i * 7) % 5));
        }
        List<Long> chosen = Evictions.choose(idle, needed);
        int all = sizes.stream().mapToInt(Integer::intValue).sum();
        if (needed > all) {
            assertNull(chosen);
            return;
        }
        long sum = chosen.stream().mapToLong(c -> idle.get((int) (long) c).kb()).sum();
        assertTrue(sum >= needed);
        for (long c : chosen) {
            assertTrue(sum - idle.get((int) c).kb() < needed, c + " went in vain");
        }
        // whoever stays although idle longer than one that goes was too small to spare it
        List<Evictions.Idle> eldest = new ArrayList<>(idle);
        eldest.sort((a, b) ->
                a.since() != b.since() ? Long.compare(a.since(), b.since()) : Long.compare(a.copy(), b.copy()));
        long taken = 0;
        int prefix = 0;
        while (taken < needed) {
            taken += eldest.get(prefix++).kb();
        }
        for (long c : chosen) {
            int at = prefix;
            for (int i = 0; i < prefix; i++) {
                at = eldest.get(i).copy() == c ? i : at;
            }
            assertTrue(at < prefix, "one went that a younger need not have followed");
        }
        assertEquals(chosen.size(), chosen.stream().distinct().count());
    }
}

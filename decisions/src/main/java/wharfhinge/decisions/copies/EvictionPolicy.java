package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the idle copies to evict when memory is needed: least recently used first, and none whose eviction is not needed. */
final class EvictionPolicy {
    /**
     * A copy that runs no call and may be evicted.
     *
     * @param copy           id of the copy
     * @param memoryKb       memory that its eviction frees, in KiB
     * @param idleSinceNanos when the copy last became idle
     */
    record IdleCopy(long copy, long memoryKb, long idleSinceNanos) {}

    private static final Comparator<IdleCopy> LONGEST_IDLE_FIRST =
            Comparator.comparingLong(IdleCopy::idleSinceNanos).thenComparingLong(IdleCopy::copy);

    private EvictionPolicy() {}

    /**
     * Selects the copies that have been idle longest until they suffice, then drops those from the selection that the later ones
     * made unnecessary. Runs in O(n log n) for n idle copies.
     *
     * @return the ids of the copies to evict, longest idle first; empty if all idle copies together do not suffice
     */
    static Optional<List<Long>> select(List<IdleCopy> idleCopies, long neededKb) {
        if (neededKb <= 0) {
            return Optional.of(List.of());
        }
        List<IdleCopy> candidates = new ArrayList<>(idleCopies);
        candidates.sort(LONGEST_IDLE_FIRST);
        List<IdleCopy> victims = new ArrayList<>();
        long freedKb = 0;
        for (IdleCopy candidate : candidates) {
            if (freedKb < neededKb) {
                victims.add(candidate);
                freedKb += candidate.memoryKb;
            }
        }
        if (freedKb < neededKb) {
            return Optional.empty();
        }
        dropUnneeded(victims, freedKb - neededKb);
        return Optional.of(victims.stream().map(IdleCopy::copy).toList());
    }

    /**
     * Removes copies from the selection, most recently used first, as long as the others still free enough memory.
     *
     * @param surplusKb memory in KiB that the selection frees beyond what is needed
     */
    private static void dropUnneeded(List<IdleCopy> victims, long surplusKb) {
        long remainingKb = surplusKb;
        for (int index = victims.size() - 1; index >= 0; index--) {
            if (victims.get(index).memoryKb <= remainingKb) {
                remainingKb -= victims.remove(index).memoryKb;
            }
        }
    }
}

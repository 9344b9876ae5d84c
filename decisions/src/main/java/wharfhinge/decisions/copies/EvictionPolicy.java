package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the idle copies to evict when memory is needed: least recently used first, and none that need not go. */
final class EvictionPolicy {
    /**
     * A copy that runs no call and may be evicted.
     *
     * @param copy           its id
     * @param memoryKb       memory that its eviction frees, KiB
     * @param idleSinceNanos when it last became idle
     */
    record IdleCopy(long copy, long memoryKb, long idleSinceNanos) {}

    private static final Comparator<IdleCopy> LONGEST_IDLE_FIRST =
            Comparator.comparingLong(IdleCopy::idleSinceNanos).thenComparingLong(IdleCopy::copy);

    private EvictionPolicy() {}

    /**
     * Takes the copies that have been idle longest until they suffice, then spares those that the later ones made
     * unnecessary. Takes n log n for n idle copies.
     *
     * @return the ids to evict, longest idle first; empty where all idle copies together do not suffice
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
        spareUnneeded(victims, freedKb - neededKb);
        return Optional.of(victims.stream().map(IdleCopy::copy).toList());
    }

    /** Spares the most recently used first. */
    private static void spareUnneeded(List<IdleCopy> victims, long surplusKb) {
        long remainingKb = surplusKb;
        for (int index = victims.size() - 1; index >= 0; index--) {
            if (victims.get(index).memoryKb <= remainingKb) {
                remainingKb -= victims.remove(index).memoryKb;
            }
        }
    }
}

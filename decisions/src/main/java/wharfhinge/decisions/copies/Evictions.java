package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which idle copies go when memory is wanted. A copy at work is never asked for. */
public final class Evictions {
    /**
     * An idle copy.
     *
     * @param since when it went idle, nanoseconds
     */
    public record Idle(long copy, long kb, long since) {}

    private Evictions() {}

    /**
     * Those idle longest go first, and none goes whose memory is not needed: where a later one was large enough by itself,
     * the smaller ones before it stay. Takes n log n for n idle copies.
     *
     * @return the copies to unload, idle longest first; empty where nothing is needed; null where all together don't suffice
     */
    public static List<Long> choose(List<Idle> idle, long neededKb) {
        if (neededKb <= 0) {
            return List.of();
        }
        List<Idle> order = new ArrayList<>(idle);
        order.sort(Comparator.comparingLong(Idle::since).thenComparingLong(Idle::copy));
        List<Idle> chosen = new ArrayList<>();
        long sum = 0;
        for (Idle i : order) {
            if (sum < neededKb) {
                chosen.add(i);
                sum += i.kb;
            }
        }
        if (sum < neededKb) {
            return null;
        }
        for (int k = chosen.size() - 1; k >= 0; k--) { // used last, spared first
            if (sum - chosen.get(k).kb >= neededKb) {
                sum -= chosen.remove(k).kb;
            }
        }
        return chosen.stream().map(Idle::copy).toList();
    }
}

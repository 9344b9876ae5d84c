package wharfhinge.capture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wharfhinge.capture.CaptureReader.Capture;
import wharfhinge.policy.EndpointUpdateMode;

/**
 * How far one gateway's wall clock is ahead of another's, estimated from the changes of the list that both were told: a roster
 * pushes a change to all at about the same time. The median, for a push may be late at either. Lists told whole are left out, since
 * they come when a gateway connects. Immutable.
 *
 * @param aheadUs  microseconds that the second is ahead of the first
 * @param samples  changes that both were told
 * @param spreadUs half of the samples lie within this of the estimate; lateness of pushes is in it
 */
public record Skew(long aheadUs, int samples, long spreadUs) {
    /** What can be told of two captures; empty where they share no change. */
    public static Optional<Skew> between(Capture first, Capture second) {
        Map<Long, Long> told = changes(first);
        List<Long> ahead = new ArrayList<>();
        changes(second).forEach((revision, at) -> {
            if (told.containsKey(revision)) {
                ahead.add(at - told.get(revision));
            }
        });
        if (ahead.isEmpty()) {
            return Optional.empty();
        }
        long middle = median(ahead);
        return Optional.of(new Skew(
                middle,
                ahead.size(),
                median(ahead.stream().map(a -> Math.abs(a - middle)).toList())));
    }

    /** When each change was told first, on the wall clock; after a restart of the roster numbers may come again. */
    private static Map<Long, Long> changes(Capture capture) {
        Map<Long, Long> at = new HashMap<>();
        for (Frame f : capture.frames()) {
            if (f.event() instanceof Event.Members m
                    && m.mode() == EndpointUpdateMode.INCREMENTAL
                    && m.revision() > 0) {
                at.putIfAbsent(m.revision(), capture.wallUs(f));
            }
        }
        return at;
    }

    private static long median(List<Long> of) {
        return of.stream().sorted().toList().get(of.size() / 2);
    }
}

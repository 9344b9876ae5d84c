package wharfhinge.capture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wharfhinge.capture.CaptureReader.Capture;
import wharfhinge.policy.EndpointUpdateMode;

/**
 * The offset of one gateway's wall clock against another's, estimated from the endpoint updates that both received: a roster pushes
 * an update to all at about the same time. The median, since a push may be late at either. Full lists are ignored, because they come
 * when a gateway connects. Immutable.
 *
 * @param offsetMicros  microseconds that the second is ahead of the first
 * @param samples  updates that both received
 * @param spreadMicros half of the samples lie within this of the estimate; lateness of pushes is in it
 */
public record ClockOffset(long offsetMicros, int samples, long spreadMicros) {
    /** Estimates the offset between two captures; empty where they share no update. */
    public static Optional<ClockOffset> estimate(Capture first, Capture second) {
        Map<Long, Long> firstSeen = firstSeenByRevision(first);
        List<Long> offsets = new ArrayList<>();
        firstSeenByRevision(second).forEach((revision, at) -> {
            if (firstSeen.containsKey(revision)) {
                offsets.add(at - firstSeen.get(revision));
            }
        });
        if (offsets.isEmpty()) {
            return Optional.empty();
        }
        long medianOffset = median(offsets);
        return Optional.of(new ClockOffset(
                medianOffset,
                offsets.size(),
                median(offsets.stream().map(a -> Math.abs(a - medianOffset)).toList())));
    }

    /** When each revision was first received, on the wall clock; revisions may repeat after a restart of the roster. */
    private static Map<Long, Long> firstSeenByRevision(Capture capture) {
        Map<Long, Long> at = new HashMap<>();
        for (Frame frame : capture.frames()) {
            if (frame.event() instanceof Event.Members update
                    && update.mode() == EndpointUpdateMode.INCREMENTAL
                    && update.revision() > 0) {
                at.putIfAbsent(update.revision(), capture.wallMicros(frame));
            }
        }
        return at;
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }
}

package wharfhinge.capture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wharfhinge.capture.CaptureReader.Capture;
import wharfhinge.policy.EndpointUpdateMode;

/**
 * The offset of one gateway's wall clock against another's, estimated from the endpoint updates that both received: an endpoint service
 * pushes an update to all gateways at about the same time. The estimate is the median, since a push may arrive late at either gateway.
 * Full updates are ignored, because they are sent when a gateway connects. Immutable.
 *
 * @param offsetMicros how far the second clock is ahead of the first
 * @param samples      number of updates that both gateways received
 * @param spreadMicros median absolute deviation of the samples from the estimate; includes the delays of pushes
 */
public record ClockOffset(long offsetMicros, int samples, long spreadMicros) {
    /** Estimates the offset between two captures; empty if they have no update in common. */
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

    /** Wall-clock time of the first receipt of each revision; revisions may repeat after a restart of the endpoint service. */
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

package wharfhinge.gateway.discovery;

import java.util.Optional;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterFrame;

/** The revision of the endpoint list that a gateway holds; decides what each frame of the stream means. Not thread-safe. */
final class EndpointListView {
    private static final long NO_REVISION = -1;

    private long revision = NO_REVISION;

    /** What a frame leads to: an update to pass on, a full list to request, or neither where it is nothing new. */
    record FrameResult(Optional<EndpointUpdate> update, boolean requestsFullList) {
        private static final FrameResult UNCHANGED = new FrameResult(Optional.empty(), false);
        private static final FrameResult REQUEST_FULL_LIST = new FrameResult(Optional.empty(), true);
    }

    /** Whether any list is held. */
    boolean hasRevision() {
        return revision != NO_REVISION;
    }

    /** The revision held, or -1 where there is none. */
    long revision() {
        return revision;
    }

    /** Older and repeated revisions change nothing; a gap requests the full list. */
    FrameResult apply(RosterFrame frame) {
        return switch (frame.kind()) {
            case HEARTBEAT -> isNewer(frame) ? FrameResult.REQUEST_FULL_LIST : FrameResult.UNCHANGED;
            case ALL -> isNewer(frame) ? advance(EndpointUpdateMode.FULL, frame) : FrameResult.UNCHANGED;
            case CHANGES -> applyChanges(frame);
        };
    }

    private FrameResult applyChanges(RosterFrame frame) {
        if (!isNewer(frame)) {
            return FrameResult.UNCHANGED;
        }
        boolean gap = !hasRevision() || frame.from() > revision;
        return gap ? FrameResult.REQUEST_FULL_LIST : advance(EndpointUpdateMode.INCREMENTAL, frame);
    }

    private boolean isNewer(RosterFrame frame) {
        return frame.revision() > revision;
    }

    private FrameResult advance(EndpointUpdateMode mode, RosterFrame frame) {
        revision = frame.revision();
        return new FrameResult(Optional.of(new EndpointUpdate(mode, revision, frame.entries())), false);
    }
}

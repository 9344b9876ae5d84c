package wharfhinge.gateway.discovery;

import java.util.Optional;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterFrame;

/** Tracks the revision of the endpoint list that a gateway holds, and decides the effect of each frame of the stream. Not thread-safe. */
final class EndpointListView {
    private static final long NO_REVISION = -1;

    private long revision = NO_REVISION;

    /** The effect of a frame: an update to deliver, a request for the full list, or neither if the frame has nothing new. */
    record FrameResult(Optional<EndpointUpdate> update, boolean requestsFullList) {
        private static final FrameResult UNCHANGED = new FrameResult(Optional.empty(), false);
        private static final FrameResult REQUEST_FULL_LIST = new FrameResult(Optional.empty(), true);
    }

    /** Returns whether any list has been received. */
    boolean hasRevision() {
        return revision != NO_REVISION;
    }

    /** Returns the held revision, or -1 if no list has been received. */
    long revision() {
        return revision;
    }

    /** Applies a frame. Older and repeated revisions change nothing; a gap between revisions requests the full list. */
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

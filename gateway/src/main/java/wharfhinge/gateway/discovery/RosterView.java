package wharfhinge.gateway.discovery;

import java.util.Optional;
import wharfhinge.engine.EndpointUpdate;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.protocol.RosterFrame;

/** What a gateway holds of a roster's revisions; decides what each frame means. Pure; one thread at a time. */
final class RosterView {
    private static final long NONE = -1;
    private long held = NONE;

    /** What a frame leads to: an update to tell, or the whole list to ask for; neither where it is nothing new. */
    record Step(Optional<EndpointUpdate> update, boolean askWhole) {
        private static final Step NOTHING = new Step(Optional.empty(), false);
        private static final Step ASK = new Step(Optional.empty(), true);
    }

    /** The revision held, or -1. */
    long held() {
        return held;
    }

    /** Older and repeated revisions change nothing; a gap asks for the whole. */
    Step take(RosterFrame frame) {
        return switch (frame.kind()) {
            case BEAT -> frame.revision() > held ? Step.ASK : Step.NOTHING;
            case ALL -> frame.revision() > held ? tell(EndpointUpdateMode.FULL, frame) : Step.NOTHING;
            case CHANGES -> frame.revision() <= held
                    ? Step.NOTHING
                    : held == NONE || frame.from() > held ? Step.ASK : tell(EndpointUpdateMode.INCREMENTAL, frame);
        };
    }

    private Step tell(EndpointUpdateMode mode, RosterFrame frame) {
        held = frame.revision();
        return new Step(Optional.of(new EndpointUpdate(mode, held, frame.entries())), false);
    }
}

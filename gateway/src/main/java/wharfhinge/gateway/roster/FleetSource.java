package wharfhinge.gateway.roster;

import java.util.function.Consumer;

/** Where a gateway learns of its workers. Updates come in order, on any thread; no method blocks. */
public interface FleetSource extends AutoCloseable {

    /** A source whose lists somebody else tells: {@code started} is given where to, and nothing is asked for. */
    static FleetSource pushedBy(Consumer<Consumer<FleetUpdate>> started) {
        return new FleetSource() {
            @Override
            public void start(Consumer<FleetUpdate> updates) {
                started.accept(updates);
            }

            @Override
            public void listen(boolean on) {}

            @Override
            public void reload() {}

            @Override
            public void close() {}
        };
    }

    /** Begins; where lists are pushed, updates come from now on. */
    void start(Consumer<FleetUpdate> updates);

    /** Subscribes to changes or ends that; one update answers, refused where it fails. */
    void listen(boolean on);

    /** Asks once for the whole list; one update answers, refused where it fails. */
    void reload();

    @Override
    void close();
}

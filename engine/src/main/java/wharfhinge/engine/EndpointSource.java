package wharfhinge.engine;

import java.util.function.Consumer;

/** Where a gateway learns of its workers. Updates come in order, on any thread; no method blocks. */
public interface EndpointSource extends AutoCloseable {

    /** A source whose lists somebody else tells: {@code started} is given where to, and nothing is asked for. */
    static EndpointSource pushedBy(Consumer<Consumer<EndpointUpdate>> started) {
        return new EndpointSource() {
            @Override
            public void start(Consumer<EndpointUpdate> updates) {
                started.accept(updates);
            }

            @Override
            public void watch(boolean on) {}

            @Override
            public void refresh() {}

            @Override
            public void close() {}
        };
    }

    /** Begins; where lists are pushed, updates come from now on. */
    void start(Consumer<EndpointUpdate> updates);

    /** Subscribes to changes or ends that; one update answers, refused where it fails. */
    void watch(boolean on);

    /** Asks once for the whole list; one update answers, refused where it fails. */
    void refresh();

    @Override
    void close();
}

package wharfhinge.engine;

import java.util.function.Consumer;

/** A source of endpoint updates (endpoint service or control feed). Updates are delivered in order, on any thread; no method blocks. */
public interface EndpointSource extends AutoCloseable {

    /** A source whose updates another component pushes: {@code onStart} receives their consumer, and requests are ignored. */
    static EndpointSource pushedBy(Consumer<Consumer<EndpointUpdate>> onStart) {
        return new EndpointSource() {
            @Override
            public void start(Consumer<EndpointUpdate> updates) {
                onStart.accept(updates);
            }

            @Override
            public void watch(boolean on) {}

            @Override
            public void refresh() {}

            @Override
            public void close() {}
        };
    }

    /** Starts the source. Pushed updates are delivered from now on. */
    void start(Consumer<EndpointUpdate> updates);

    /** Starts or ends a watch. One update follows as the answer, in mode rejected on failure. */
    void watch(boolean on);

    /** Requests the full list once. One update follows as the answer, in mode rejected on failure. */
    void refresh();

    @Override
    void close();
}

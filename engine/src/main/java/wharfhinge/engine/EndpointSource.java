package wharfhinge.engine;

import java.util.function.Consumer;

/** A source of endpoint updates (endpoint service or control feed). Updates are delivered in order, on any thread; no method blocks. */
public interface EndpointSource extends AutoCloseable {

    /**
     * A source whose updates another component pushes. At the start {@code onStart} receives the consumer to push them to;
     * {@link #watch} and {@link #refresh} do nothing.
     */
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

    /**
     * Starts or ends a watch, during which the source delivers each change. One update follows a start, in mode rejected if the start
     * failed. A source that always delivers its changes ignores this.
     */
    void watch(boolean on);

    /**
     * Requests the full list once. One update follows, in mode rejected if the request failed. A source that always delivers its
     * changes may deliver only those that were missed.
     */
    void refresh();

    @Override
    void close();
}

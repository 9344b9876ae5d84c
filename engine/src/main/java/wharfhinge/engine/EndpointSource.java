package wharfhinge.engine;

import java.util.function.Consumer;

/** A source of endpoint updates (a roster, a control feed). Updates are delivered in order, on any thread; no method blocks. */
public interface EndpointSource extends AutoCloseable {

    /** A source whose updates are pushed by somebody else: {@code started} gets the consumer; nothing is ever requested. */
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

    /** Starts; where updates are pushed, they are delivered from now on. */
    void start(Consumer<EndpointUpdate> updates);

    /** Starts or ends a watch. One update answers, with mode rejected where that fails. */
    void watch(boolean on);

    /** Requests the full list once. One update answers, with mode rejected where that fails. */
    void refresh();

    @Override
    void close();
}

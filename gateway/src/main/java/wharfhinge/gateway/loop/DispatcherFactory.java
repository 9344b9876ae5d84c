package wharfhinge.gateway.loop;

import wharfhinge.Choice;
import wharfhinge.Dispatcher;

/** Makes the decisions of one life of the loop. */
@FunctionalInterface
public interface DispatcherFactory {
    /** The product's: {@link Choice} as it is. */
    DispatcherFactory CHOICE = Choice::new;

    /** A dispatcher that knows nothing yet. */
    Dispatcher create(long now, long seed, Dispatcher.Settings settings, Dispatcher.Actions actions);

    /** The client's name of a call that the dispatcher is told of next. */
    default void named(long now, String id, String outer) {}
}

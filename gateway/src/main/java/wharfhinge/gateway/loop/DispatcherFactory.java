package wharfhinge.gateway.loop;

import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;

/** Makes the decisions of one life of the loop. */
@FunctionalInterface
public interface DispatcherFactory {
    /** The product's: {@link CacheAwareDispatcher} as it is. */
    DispatcherFactory CHOICE = CacheAwareDispatcher::new;

    /** A dispatcher that knows nothing yet. */
    Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);

    /** The client's name of a call that the dispatcher is told of next. */
    default void named(long now, String id, String outer) {}
}

package wharfhinge.engine;

import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;

/** Makes the decisions of one life of the loop. */
@FunctionalInterface
public interface DispatcherFactory {
    /** The product's: {@link CacheAwareDispatcher} as it is. */
    DispatcherFactory CACHE_AWARE = CacheAwareDispatcher::new;

    /** A dispatcher that knows nothing yet. */
    Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);

    /** The client's name of a call that the dispatcher is told of next. */
    default void onRequestNamed(long now, String id, String outer) {}
}

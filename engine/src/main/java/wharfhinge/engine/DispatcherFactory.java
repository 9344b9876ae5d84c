package wharfhinge.engine;

import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;

/** Creates the dispatcher of one incarnation. */
@FunctionalInterface
public interface DispatcherFactory {
    /** The production dispatcher. */
    DispatcherFactory CACHE_AWARE = CacheAwareDispatcher::new;

    /** A dispatcher without any state. */
    Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);

    /** The client's id of the call that the dispatcher gets next. */
    default void onRequestNamed(long now, String id, String outer) {}
}

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

    /** Creates a dispatcher without any state. */
    Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);

    /** Reports the client's id of the request that the dispatcher receives next; ignored by default. */
    default void onRequestNamed(long now, String id, String externalId) {}
}

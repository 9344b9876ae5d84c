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

    /** Creates a dispatcher that knows nothing of earlier incarnations. */
    Dispatcher create(long now, long seed, DispatcherSettings settings, DispatcherActions actions);

    /**
     * Reports the ids of the request that the dispatcher receives next; ignored by default.
     *
     * @param id         the engine's id, by which the dispatcher knows the request
     * @param externalId the client's own id, or the engine's if the client gave none
     */
    default void onRequestNamed(long now, String id, String externalId) {}
}

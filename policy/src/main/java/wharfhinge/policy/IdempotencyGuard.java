package wharfhinge.policy;

import java.util.Objects;

/** Decides whether a request may be sent again, and whether its client may be told that a retry is harmless. */
final class IdempotencyGuard {
    private final DispatcherContext context;

    IdempotencyGuard(DispatcherContext context) {
        this.context = context;
    }

    /**
     * Whether the request may be sent to this worker now: it has no attempt in flight, unless hedging is allowed, and
     * its effect permits a repeat of the attempts that may have executed.
     */
    boolean maySend(RequestState state, WorkerState worker) {
        if (state.finished
                || !state.attemptsInFlight.isEmpty()
                        && !context.settings.limits().hedging()) {
            return false;
        }
        Effect effect = state.requestClass.effect();
        return effect == Effect.IDEMPOTENT
                || state.possiblyExecuted.isEmpty()
                || effect == Effect.DEDUPLICATED && isDeduplicated(state, worker);
    }

    /**
     * Whether the worker would discard the request as a repeat: all attempts that may have executed went to workers of
     * its deduplication scope, and were sent less than the deduplication window, less two ticks, ago.
     */
    private boolean isDeduplicated(RequestState state, WorkerState worker) {
        RequestClass requestClass = state.requestClass;
        long windowNanos = requestClass.deduplicationWindowNanos() - 2 * context.settings.tickNanos();
        return state.possiblyExecuted.stream()
                .allMatch(attempt -> isSameScope(requestClass.deduplicationScope(), attempt.worker(), worker)
                        && context.now - attempt.sentAt() < windowNanos);
    }

    private static boolean isSameScope(DeduplicationScope scope, WorkerState first, WorkerState second) {
        if (scope == DeduplicationScope.ALL) {
            return true;
        }
        return scope == DeduplicationScope.ZONE
                ? Objects.equals(first.endpoint.zone(), second.endpoint.zone())
                : first.endpoint.cell() == second.endpoint.cell();
    }

    /** Whether the client may be told that a retry is harmless. */
    boolean mayReject(RequestState state) {
        Effect effect = state.requestClass.effect();
        return state.possiblyExecuted.isEmpty()
                || effect == Effect.IDEMPOTENT
                || effect == Effect.DEDUPLICATED && state.requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    /**
     * Whether another attempt may become possible: none is in flight, and the request's effect does not rule out a
     * repeat.
     */
    boolean mayRetryLater(RequestState state) {
        return state.attemptsInFlight.isEmpty()
                && (state.possiblyExecuted.isEmpty() || state.requestClass.effect() != Effect.AT_MOST_ONCE);
    }

    void onAttemptCompleted(Attempt attempt, Outcome outcome) {
        if (provesNotExecuted(outcome)) {
            attempt.state().possiblyExecuted.remove(attempt);
        }
    }

    private static boolean provesNotExecuted(Outcome outcome) {
        return switch (outcome) {
            case SATURATED, CONNECT_FAILED, SUPERSEDED, NOT_LOADED, LEASE_EXPIRED -> true;
            case SERVED, ERROR, TIMEOUT, RESET, CANCELLED -> false;
        };
    }
}

package wharfhinge.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Orders loads and limits this dispatcher's number of loads in flight.
 *
 * <p>Departure from the source design: the limit follows the time that loads take, with additive increase and
 * multiplicative decrease. It acts once this dispatcher's loads reach the limit, and guards the shared package store
 * against load storms, whatever their cause. It may hurt where overload of a worker is mistaken for overload of the
 * store.
 */
final class LoadScheduler {
    private static final double INITIAL_LIMIT = 8;
    private static final double MIN_LIMIT = 2;
    private static final double DECREASE_FACTOR = 0.7;
    private static final double PROBABILITY_SMOOTHING = 0.05;

    /** Multiple of the expected load time above which an ordered load indicates an overloaded package store. */
    private static final double SLOW_LOAD_MULTIPLE = 3;

    /** Multiple of the expected load time after which a load order is abandoned. */
    private static final double ORDER_TIMEOUT_MULTIPLE = 4;

    private final DispatcherContext context;
    private final EndpointLeases leases;
    private final FunctionLoading settings;
    private final ArrayDeque<CachedFunction> pendingOrders = new ArrayDeque<>();
    private final ArrayDeque<Long> orderTimes = new ArrayDeque<>();
    private final ArrayDeque<Long> arrivalTimes = new ArrayDeque<>();
    private int inFlight;
    private double inFlightLimit = INITIAL_LIMIT;

    /**
     * Smoothed share of the attempts with {@link Attempt#mayLoad} that did cause a load. It is below 1 where requests of
     * peers keep functions loaded that this dispatcher does not know to be loaded.
     */
    private double loadProbability = 1;

    LoadScheduler(DispatcherContext context, EndpointLeases leases) {
        this.context = context;
        this.leases = leases;
        this.settings = context.settings.functionLoading();
    }

    void onRequest() {
        arrivalTimes.add(context.now);
    }

    /** Whether the expected number of loads in flight has reached the limit, so that no further load may be started. */
    boolean isAtLimit() {
        return inFlight * loadProbability >= inFlightLimit;
    }

    /** Whether no load is in flight and no order is pending. */
    boolean isIdle() {
        return inFlight + pendingOrders.size() == 0;
    }

    /**
     * Whether a load may be ordered ahead of its request: orders are allowed, none is pending, and the limit is not
     * reached.
     */
    boolean mayPrefetch() {
        return settings.loadOrdersAllowed() && pendingOrders.isEmpty() && !isAtLimit();
    }

    boolean isPending(CachedFunction cached) {
        return pendingOrders.contains(cached);
    }

    /** Whether an order that was sent has taken so long that it is abandoned. */
    boolean isOverdue(CachedFunction cached) {
        return cached.loadOrdered
                && context.now - cached.loadOrderedAt > ORDER_TIMEOUT_MULTIPLE * cached.loadNanos
                && !isPending(cached);
    }

    /**
     * Orders a load of the function. The order is sent once the worker's lease, the quota and the limit allow it. Does
     * nothing if a load is ordered already.
     */
    void order(CachedFunction cached) {
        if (!cached.loadOrdered) {
            cached.loadOrdered = true;
            cached.loadOrderedAt = context.now;
            pendingOrders.add(cached);
            sendPendingOrders();
        }
    }

    void cancelPending(CachedFunction cached) {
        pendingOrders.remove(cached);
    }

    /** Sends as many pending orders as quota and limit allow, those that most requests wait for first. */
    void sendPendingOrders() {
        List<CachedFunction> sendable = sendableOrders();
        while (!sendable.isEmpty() && inFlight < inFlightLimit && isWithinQuota()) {
            CachedFunction next =
                    Collections.max(sendable, Comparator.comparingInt(pending -> pending.waitingRequests.size()));
            sendable.remove(next);
            pendingOrders.remove(next);
            next.loadOrderedAt = context.now;
            inFlight++;
            orderTimes.add(context.now);
            context.actions.ensureLoaded(next.worker.id, next.function, 1);
        }
    }

    /**
     * The pending orders whose workers' leases need no renewal. The workers of the other orders are sent a renewal
     * query, except those whose lease is revoked.
     */
    private List<CachedFunction> sendableOrders() {
        List<CachedFunction> sendable = new ArrayList<>(pendingOrders.size());
        for (CachedFunction order : pendingOrders) {
            if (!leases.needsRenewal(order.worker)) {
                sendable.add(order);
            } else if (leases.isUsable(order.worker, true)) {
                leases.sendRenewalQuery(order.worker, order.function);
            }
        }
        return sendable;
    }

    /**
     * Whether one more order keeps this dispatcher's orders of the quota period within the quota, which grows with its
     * requests of that period. Always true where no quota period is configured.
     */
    private boolean isWithinQuota() {
        removeOldTimes();
        double quota = settings.loadQuotaBase() + settings.loadQuotaPerRequest() * arrivalTimes.size();
        return settings.loadQuotaPeriodNanos() <= 0 || orderTimes.size() + 1 <= quota;
    }

    /** Removes the times of orders and requests from before the quota period. */
    void removeOldTimes() {
        long periodNanos = settings.loadQuotaPeriodNanos();
        orderTimes.removeIf(at -> at < context.now - periodNanos);
        arrivalTimes.removeIf(at -> at <= context.now - periodNanos);
    }

    void onSend(Attempt attempt) {
        if (attempt.mayLoad()) {
            inFlight++;
        }
    }

    /**
     * Updates the limit and the load probability from an attempt that may have loaded its function. A connection failure
     * changes neither, since it says nothing about loads.
     */
    void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
        if (!attempt.mayLoad()) {
            return;
        }
        if (AttemptTracker.isConnectionFailure(completion.outcome())) {
            inFlight--;
            return;
        }
        double loaded = completion.cacheStatus() == CacheStatus.HIT ? 0 : 1;
        loadProbability += PROBABILITY_SMOOTHING * (loaded - loadProbability);
        onLoadEnded(completion.outcome() == Outcome.SERVED && completion.tookNanos() <= attempt.overdueAfterNanos());
    }

    /** An ordered load completed; {@code cached} is null if its entry no longer exists. */
    void onOrderCompleted(CachedFunction cached, boolean loaded, long tookNanos) {
        onLoadEnded(loaded && (cached == null || tookNanos <= SLOW_LOAD_MULTIPLE * cached.loadNanos));
    }

    private void onLoadEnded(boolean inTime) {
        inFlight = Math.max(0, inFlight - 1);
        if (!inTime) {
            inFlightLimit = Math.max(MIN_LIMIT, inFlightLimit * DECREASE_FACTOR);
        } else if (inFlight >= inFlightLimit / 2) {
            inFlightLimit += 1 / inFlightLimit;
        }
    }
}

package wharfhinge.policy;

/**
 * Leases of the workers in the endpoint list: until when a worker that is listed as up may be sent new work.
 *
 * <p>While the source of the list confirms that it is current, each confirmation renews all leases. Without
 * confirmations, workers may begin to drain without this dispatcher being told, and the drain grace period counts from
 * then. Each worker then needs a renewal of its own that is younger than the grace period: a request that it served, or
 * a query of loaded copies that it answered over a connection opened for the query; the age counts from when the request
 * or the query was sent. Both exclude a draining worker, since it rejects requests, and either refuses new connections
 * or rejects the query ({@code docs/incidents/2026-12-02.md}).
 *
 * <p>Departure from the source design: it acts only where the source of the list reports whether the list is current,
 * and either has not confirmed it for {@link #MAX_CONFIRMATION_AGE_NANOS} or has to be contacted again. It guards
 * against work sent to workers that drain or are gone, and against sending a worker that restarted unnoticed the load
 * of a warm one. It costs a query and a connection for a send to a worker whose lease was not renewed recently. Where
 * queries are not allowed, only workers that serve requests all the time stay in use, or any worker once no lease is
 * valid; it hurts where requests are rare.
 */
final class EndpointLeases {
    /** Age at which a confirmation expires. A connected source sends one each second, so two are missing by then. */
    static final long MAX_CONFIRMATION_AGE_NANOS = 2200 * DispatcherContext.NANOS_PER_MILLI;

    /**
     * Share of the drain grace period for which a lease is valid; the rest allows for pauses between the check of the
     * lease and the write of the message.
     */
    private static final double VALID_SHARE = 0.9;

    /** Share of the drain grace period after which a lease is renewed before a send. */
    private static final double RENEW_SHARE = 0.25;

    /**
     * How long the first revocation of a worker's lease lasts; each further one lasts twice as long, up to the maximum.
     */
    static final long FIRST_REVOCATION_NANOS = 500 * DispatcherContext.NANOS_PER_MILLI;

    private static final long MAX_REVOCATION_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    /** Least time that a worker takes to stop and start again. */
    private static final long MIN_RESTART_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    /**
     * As {@link #MIN_RESTART_NANOS}, but for a worker that was never connected to: how long it may go unobserved, without
     * a current list, before it is suspected of a restart.
     */
    private static final long MIN_RESTART_NEVER_CONNECTED_NANOS = 5000 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final LoadQueries queries;
    private final boolean queriesAllowed;
    private final long validNanos;
    private final long renewAfterNanos;

    /**
     * Whether the source of the list has ever reported whether the list is current; if it never does, the list always
     * counts as current.
     */
    private boolean freshnessReported;

    /** Whether the last report of the source was a confirmation. */
    private boolean confirmed;

    /** Time up to which the source has reported all changes, by its last confirmation. */
    private long confirmedAt;

    /** Time until which the list counted as current; valid while {@link #confirmed} is false. */
    private long unconfirmedAt;

    /** Latest end of any revocation of a worker's lease. */
    private long revocationsEndAt = WorkerState.NEVER;

    EndpointLeases(DispatcherContext context, WorkerRegistry registry, LoadQueries queries) {
        this.context = context;
        this.registry = registry;
        this.queries = queries;
        this.queriesAllowed = context.settings.functionLoading().loadOrdersAllowed();
        long graceNanos = context.settings.protectionRules().drainWithinNanos();
        this.validNanos = (long) (VALID_SHARE * graceNanos);
        this.renewAfterNanos = (long) (RENEW_SHARE * graceNanos);
    }

    // ---- Events ----

    /** The source of the list has reported all changes up to {@code at}. */
    void onConfirmed(long at) {
        if (freshnessReported && !isListCurrent()) {
            context.actions.logDiagnostic("endpoint list current again");
        }
        freshnessReported = true;
        confirmedAt = confirmed ? Math.max(confirmedAt, at) : at;
        confirmed = true;
    }

    /** The source has to be contacted again: changes from now on may not be reported. */
    void onUnconfirmed() {
        if (!freshnessReported) {
            // The list read at the start may be older than the grace period: it gives no worker a lease.
            unconfirmedAt = context.now - validNanos;
            context.actions.logDiagnostic("endpoint list not confirmed yet");
        } else if (isListCurrent()) {
            unconfirmedAt = context.now;
            context.actions.logDiagnostic("endpoint list may be stale");
        }
        if (confirmed) {
            unconfirmedAt = Math.min(context.now, confirmedAt + MAX_CONFIRMATION_AGE_NANOS);
        }
        freshnessReported = true;
        confirmed = false;
    }

    /**
     * Renews the lease: the worker served a request or answered a renewal query that was sent at {@code sentAt}. Has no
     * effect if that was before the lease was last revoked.
     */
    private void renewLease(WorkerState worker, long sentAt) {
        if (!freshnessReported || sentAt <= worker.leaseRevokedAt) {
            return;
        }
        worker.leaseRenewedAt = Math.max(worker.leaseRenewedAt, sentAt);
        if (!isListCurrent()) {
            detectRestart(worker);
        }
        worker.leaseRevokedUntil = WorkerState.NEVER;
        worker.leaseRevocationNanos = FIRST_REVOCATION_NANOS;
        worker.mayHaveRestarted = false;
        worker.unobservedSince = WorkerState.OBSERVED;
    }

    /**
     * New work that was sent to the worker at {@code sentAt} ended. Returns whether that revoked the worker's lease.
     */
    boolean onWorkEnded(WorkerState worker, Outcome outcome, long sentAt) {
        return switch (outcome) {
            case SERVED -> {
                renewLease(worker, sentAt);
                yield false;
            }
            case SATURATED, CONNECT_FAILED, RESET -> revoke(worker, outcome);
            case ERROR, TIMEOUT, CANCELLED, SUPERSEDED, NOT_LOADED, LEASE_EXPIRED -> false;
        };
    }

    /**
     * Revokes the lease of a worker that rejected work, refused or reset a connection, or did not answer a renewal
     * query with success. Returns false, and leaves the lease valid, where the list counts as current.
     */
    private boolean revoke(WorkerState worker, Outcome outcome) {
        if (!freshnessReported || isListCurrent()) {
            return false;
        }
        if (context.now >= worker.leaseRevokedUntil) {
            context.actions.logDiagnostic("lease of " + worker.id + " revoked: " + outcome);
            worker.leaseRevokedUntil = context.now + worker.leaseRevocationNanos;
            revocationsEndAt = Math.max(revocationsEndAt, worker.leaseRevokedUntil);
            worker.leaseRevocationNanos = Math.min(MAX_REVOCATION_NANOS, 2 * worker.leaseRevocationNanos);
        }
        worker.leaseRevokedAt = context.now;
        worker.leaseRenewedAt = WorkerState.NEVER;
        worker.mayHaveRestarted |= outcome == Outcome.CONNECT_FAILED;
        return true;
    }

    /** The last connection to the worker was closed: from now on it may stop unnoticed. */
    void onDisconnected(WorkerState worker) {
        if (worker.unobservedSince == WorkerState.OBSERVED) {
            worker.unobservedSince = context.now;
            worker.connectedBefore = true;
        }
    }

    /** Treats a worker that may have restarted unnoticed as started now, so that it gets a slow start. */
    private void detectRestart(WorkerState worker) {
        if (worker.mayHaveRestarted || wasUnobserved(worker)) {
            context.actions.logDiagnostic(worker.id + " may have restarted: slow start");
            worker.suspectedStartAt = context.now;
            worker.slowStartTokens = context.random.nextDouble();
            worker.slowStartRefilledAt = context.now;
            registry.invalidateActive();
        }
    }

    private boolean wasUnobserved(WorkerState worker) {
        long minRestartNanos = worker.connectedBefore ? MIN_RESTART_NANOS : MIN_RESTART_NEVER_CONNECTED_NANOS;
        return worker.unobservedSince != WorkerState.OBSERVED
                && context.now - Math.max(worker.unobservedSince, listCurrentUntil()) > minRestartNanos;
    }

    // ---- State of the leases ----

    /** Whether the list is current, so that no worker needs to renew its own lease. */
    boolean isListCurrent() {
        return !freshnessReported || confirmed && context.now < confirmedAt + MAX_CONFIRMATION_AGE_NANOS;
    }

    private long listCurrentUntil() {
        return confirmed ? confirmedAt + MAX_CONFIRMATION_AGE_NANOS : unconfirmedAt;
    }

    /** When the worker's lease started: the latest time at which it is known not to have been told to drain. */
    private long leaseStart(WorkerState worker) {
        long listedAt = listCurrentUntil();
        return listedAt > worker.leaseRevokedAt ? Math.max(listedAt, worker.leaseRenewedAt) : worker.leaseRenewedAt;
    }

    /** Whether the worker's lease is valid, so that new work may be sent to it now. */
    boolean isValid(WorkerState worker) {
        return !freshnessReported || context.now - leaseStart(worker) < validNanos;
    }

    /** Whether the worker's lease should be renewed by a query before new work is sent. */
    boolean needsRenewal(WorkerState worker) {
        return queriesAllowed && !isListCurrent() && context.now - leaseStart(worker) >= renewAfterNanos;
    }

    /**
     * Whether {@link #isUsable} may return false. A revocation stays in force until its end even if the list becomes
     * current before, since the updates that explain it may arrive after the confirmation.
     */
    boolean mayExclude() {
        return !isListCurrent() || context.now < revocationsEndAt;
    }

    /** Whether any active worker has a valid lease. */
    boolean isAnyValid() {
        return registry.active().stream().anyMatch(this::isValid);
    }

    /**
     * Whether the worker's lease is not revoked, and is valid or may be renewed by a query.
     *
     * @param anyValid the result of {@link #isAnyValid}: without queries, a worker without a lease is tried, over a new
     *     connection, only where no other worker has one
     */
    boolean isUsable(WorkerState worker, boolean anyValid) {
        if (context.now < worker.leaseRevokedUntil) {
            return false;
        }
        if (isListCurrent() || isValid(worker)) {
            return true;
        }
        if (queriesAllowed) {
            return worker.leaseQueriedAt == WorkerState.NEVER
                    || context.now - worker.leaseQueriedAt < PendingReplies.TIMEOUT_NANOS;
        }
        return !anyValid;
    }

    /** Sends the worker a query that renews its lease, unless one is in flight. */
    void sendRenewalQuery(WorkerState worker, String function) {
        if (worker.leaseQueriedAt == WorkerState.NEVER && queries.send(worker, function, null, true)) {
            worker.leaseQueriedAt = context.now;
        }
    }

    /** A query was answered or failed. Returns whether it was one that renews a lease. */
    boolean onQueryAnswered(WorkerState worker, LoadQueries.Query query, Outcome outcome) {
        if (!query.renewsLease()) {
            return false;
        }
        worker.leaseQueriedAt = WorkerState.NEVER;
        if (outcome == Outcome.SERVED) {
            renewLease(worker, query.sentAt());
        } else {
            revoke(worker, outcome);
        }
        return true;
    }

    /** The condition under which a message may be written to the worker. */
    SendCondition condition(WorkerState worker, SendCondition.Purpose purpose) {
        if (!freshnessReported || purpose == SendCondition.Purpose.QUERY && isListCurrent()) {
            return SendCondition.NONE;
        }
        if (purpose == SendCondition.Purpose.QUERY) {
            return new SendCondition(Long.MAX_VALUE, true);
        }
        return isValid(worker)
                ? new SendCondition(leaseStart(worker) + validNanos, false)
                : new SendCondition(context.now + validNanos, true);
    }
}

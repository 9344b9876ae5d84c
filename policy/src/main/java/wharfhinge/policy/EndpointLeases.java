package wharfhinge.policy;

/**
 * Leases on what the endpoint list says: until when a worker that is listed as up may be sent new work.
 *
 * <p>While the source of the list is heard, the list renews every lease. Once it isn't, workers may begin to drain
 * without this dispatcher being told, and the drain grace runs from then. So each worker then needs evidence of its own
 * that is younger than the grace: a request that it served, counted from when that was sent, or a query of loaded
 * copies that it answered over a connection opened for it. Workers that drain turn work away; of their listener and
 * their answers to queries one or the other shows the drain ({@code docs/incidents/2026-12-02.md}).
 *
 * <p>Departure from the source design: it acts only where the source of the list tells when it is heard, and was not
 * heard for {@link #MAX_SILENCE_NANOS}, or has to be asked again. It guards against work sent to workers that drain or
 * are gone, and against sending a worker that restarted unseen the load of a warm one. It costs a query and a
 * connection for a send to a worker without fresh evidence. Where queries are not allowed, only workers that serve
 * requests all the time stay in use; it hurts where requests are rare.
 */
final class EndpointLeases {
    /** A source that is heard says something each second: two messages are missing. */
    static final long MAX_SILENCE_NANOS = 2200 * DispatcherContext.NANOS_PER_MILLI;

    /** Part of the drain grace for which evidence holds; the rest is for pauses between a check and its write. */
    private static final double VALID_SHARE = 0.9;

    /** Part of the drain grace after which evidence is renewed before a send. */
    private static final double RENEW_SHARE = 0.25;

    /** How long a worker that turned work away is left alone at first; doubles up to the maximum. */
    static final long FIRST_REVOCATION_NANOS = 500 * DispatcherContext.NANOS_PER_MILLI;

    private static final long MAX_REVOCATION_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    /** A worker doesn't stop and start again within this time. */
    private static final long MIN_RESTART_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    /** A worker that was never connected to counts as it is listed for this long after the list was current. */
    private static final long MIN_RESTART_OF_STRANGER_NANOS = 5000 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final LoadQueries queries;
    private final boolean queriesAllowed;
    private final long validNanos;
    private final long renewAfterNanos;

    /** Whether the source ever told whether it is heard; the list counts as current for ever where it doesn't. */
    private boolean sourceTells;

    private boolean confirmed;
    private long confirmedAt;
    private long unconfirmedAt;

    /** When the last revocation of all ends. */
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

    // ---- What is heard ----

    /** The source of the list has told everything that there was up to {@code at}. */
    void onConfirmed(long at) {
        if (sourceTells && !isListCurrent()) {
            context.actions.logDiagnostic("endpoint list current again");
        }
        sourceTells = true;
        confirmedAt = confirmed ? Math.max(confirmedAt, at) : at;
        confirmed = true;
    }

    /** The source has to be asked again: what happens from now on may not be told. */
    void onUnconfirmed() {
        if (!sourceTells) {
            // What the list at the start says was true when it was written, which is not known to be within the grace.
            unconfirmedAt = context.now - validNanos;
            context.actions.logDiagnostic("endpoint list not confirmed yet");
        } else if (isListCurrent()) {
            unconfirmedAt = context.now;
            context.actions.logDiagnostic("endpoint list may be stale");
        }
        if (confirmed) {
            unconfirmedAt = Math.min(context.now, confirmedAt + MAX_SILENCE_NANOS);
        }
        sourceTells = true;
        confirmed = false;
    }

    /** The worker served a request, or answered a query that renews its lease; either was sent at {@code sentAt}. */
    private void onEvidence(WorkerState worker, long sentAt) {
        if (!sourceTells || sentAt <= worker.leaseRevokedAt) {
            return;
        }
        worker.leaseProvenAt = Math.max(worker.leaseProvenAt, sentAt);
        if (!isListCurrent()) {
            detectRestart(worker);
        }
        worker.leaseRevokedUntil = WorkerState.NEVER;
        worker.leaseRevocationNanos = FIRST_REVOCATION_NANOS;
        worker.mayHaveRestarted = false;
        worker.unobservedSince = WorkerState.OBSERVED;
    }

    /** New work that was sent to the worker at {@code sentAt} ended; whether that revoked its lease. */
    boolean onWorkEnded(WorkerState worker, Outcome outcome, long sentAt) {
        return switch (outcome) {
            case SERVED -> {
                onEvidence(worker, sentAt);
                yield false;
            }
            case SATURATED, CONNECT_FAILED, RESET -> revoke(worker, outcome);
            case ERROR, TIMEOUT, CANCELLED, SUPERSEDED, NOT_LOADED, LEASE_EXPIRED -> false;
        };
    }

    /** The worker turned work away, refused a connection or did not answer, which ends its lease; whether it did. */
    private boolean revoke(WorkerState worker, Outcome outcome) {
        if (!sourceTells || isListCurrent()) {
            return false;
        }
        if (context.now >= worker.leaseRevokedUntil) {
            context.actions.logDiagnostic("lease of " + worker.id + " revoked: " + outcome);
            worker.leaseRevokedUntil = context.now + worker.leaseRevocationNanos;
            revocationsEndAt = Math.max(revocationsEndAt, worker.leaseRevokedUntil);
            worker.leaseRevocationNanos = Math.min(MAX_REVOCATION_NANOS, 2 * worker.leaseRevocationNanos);
        }
        worker.leaseRevokedAt = context.now;
        worker.leaseProvenAt = WorkerState.NEVER;
        worker.mayHaveRestarted |= outcome == Outcome.CONNECT_FAILED;
        return true;
    }

    /** No connection to the worker is open any more, so nothing would show that it stopped. */
    void onDisconnected(WorkerState worker) {
        if (worker.unobservedSince == WorkerState.OBSERVED) {
            worker.unobservedSince = context.now;
            worker.connectedBefore = true;
        }
    }

    /** A worker that may have stopped and started unseen counts as started now: empty, and not warm. */
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
        long minRestartNanos = worker.connectedBefore ? MIN_RESTART_NANOS : MIN_RESTART_OF_STRANGER_NANOS;
        return worker.unobservedSince != WorkerState.OBSERVED
                && context.now - Math.max(worker.unobservedSince, listCurrentUntil()) > minRestartNanos;
    }

    // ---- What follows ----

    /** Whether the source of the list is heard, so that no worker needs a lease of its own. */
    boolean isListCurrent() {
        return !sourceTells || confirmed && context.now < confirmedAt + MAX_SILENCE_NANOS;
    }

    private long listCurrentUntil() {
        return confirmed ? confirmedAt + MAX_SILENCE_NANOS : unconfirmedAt;
    }

    /** The latest time at which the worker is known not to have been told to drain. */
    private long provenAt(WorkerState worker) {
        long listedAt = listCurrentUntil();
        return listedAt > worker.leaseRevokedAt ? Math.max(listedAt, worker.leaseProvenAt) : worker.leaseProvenAt;
    }

    /** Whether new work may be sent to the worker now. */
    boolean isValid(WorkerState worker) {
        return !sourceTells || context.now - provenAt(worker) < validNanos;
    }

    /** Whether the worker's lease should be renewed by a query before new work is sent. */
    boolean needsRenewal(WorkerState worker) {
        return queriesAllowed && !isListCurrent() && context.now - provenAt(worker) >= renewAfterNanos;
    }

    /**
     * Whether {@link #isUsable} may say no. A revocation runs on to its end after the list is current again, since the
     * updates that explain it may come later than the source is heard.
     */
    boolean mayExclude() {
        return !isListCurrent() || context.now < revocationsEndAt;
    }

    /** Whether any active worker has a lease. */
    boolean isAnyValid() {
        return registry.active().stream().anyMatch(this::isValid);
    }

    /**
     * Whether the worker has a lease, or may be asked for one.
     *
     * @param anyValid what {@link #isAnyValid} says: without queries a worker is tried, over a new connection, only
     *     where no other has a lease
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

    /** Queries the worker, unless that is under way. */
    void renew(WorkerState worker, String function) {
        if (worker.leaseQueriedAt == WorkerState.NEVER && queries.send(worker, function, null, true)) {
            worker.leaseQueriedAt = context.now;
        }
    }

    /** A query was answered; whether it had asked for a lease. */
    boolean onQueryAnswered(WorkerState worker, LoadQueries.Query query, Outcome outcome) {
        if (!query.renewsLease()) {
            return false;
        }
        worker.leaseQueriedAt = WorkerState.NEVER;
        if (outcome == Outcome.SERVED) {
            onEvidence(worker, query.sentAt());
        } else {
            revoke(worker, outcome);
        }
        return true;
    }

    /** The condition under which a message may be written to the worker. */
    SendCondition condition(WorkerState worker, SendCondition.Purpose purpose) {
        if (!sourceTells || purpose == SendCondition.Purpose.QUERY && isListCurrent()) {
            return SendCondition.NONE;
        }
        if (purpose == SendCondition.Purpose.QUERY) {
            return new SendCondition(Long.MAX_VALUE, true);
        }
        return isValid(worker)
                ? new SendCondition(provenAt(worker) + validNanos, false)
                : new SendCondition(context.now + validNanos, true);
    }
}

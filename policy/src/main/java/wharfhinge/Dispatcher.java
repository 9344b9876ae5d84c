package wharfhinge;

import java.util.List;
import java.util.Map;

/**
 * One dispatcher of one tier: it is told events and answers with {@link Actions}. All times are
 * nanoseconds of the caller's clock, which only advances; an event's {@code now} is when it came.
 * An implementation is used by one thread at a time. {@link Choice} holds the decisions.
 */
public interface Dispatcher {

    /** What a repeated request of a class does. */
    enum Effect {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** The workers that discard repeats of a {@link Effect#DEDUPLICATED} request among them. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt, a probe or an order ended. */
    enum Outcome {
        SERVED,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT,
        MISS
    }

    /** What the list says of a worker. */
    enum Availability {
        UP,
        DRAINING,
        WITHDRAWN
    }

    /** How a list came: what changed, the whole, the whole as last held, or no list (refused). */
    enum ListMode {
        CHANGES,
        ALL,
        REMEMBERED,
        REFUSED
    }

    /** What a served answer says of the copy, or that a load failed. */
    enum Note {
        NONE,
        FOUND_LOADED,
        BEGAN_LOAD,
        WAITED_FOR_LOAD,
        LOAD_FAILED
    }

    /** How lists come: unasked, or only where {@link Actions#listen} or {@link Actions#reload} asked. */
    enum Discovery {
        PUSHED,
        ON_REQUEST
    }

    /** What a worker does with a request whose function is not loaded: it loads it, or answers a miss. */
    enum NotLoaded {
        LOAD,
        MISS
    }

    /** Where load reports come: with answers and probes, with probes alone, nowhere. */
    enum Reports {
        PIGGYBACK,
        PULL,
        SILENT
    }

    /** What {@link Worker#weight} holds: always 1, the size, the size roughly, or the size less present load. */
    enum Weights {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** What a request's worth is counted by. */
    enum WorthBy {
        REQUEST,
        WORK
    }

    /** A worker in a list; {@code startedAt} is 0 if it started long ago. */
    record Worker(
            String id, String zone, String kind, int cell, Availability availability, double weight, long startedAt) {}

    /** A client's request; absent figures are 0, an absent tenant is null. */
    record Request(
            String id,
            String tenant,
            long remainingNs,
            double memoryMb,
            String function,
            long costNs,
            int lanes,
            double loadMs,
            String requestClass,
            boolean repeat,
            boolean write) {}

    /** How one attempt ended; {@code company} counts requests of the function found there. */
    record Completion(
            String request,
            Outcome outcome,
            int attempt,
            long tookNs,
            String worker,
            Note note,
            int company,
            boolean settled,
            Map<String, Double> report) {}

    /**
     * What a dispatcher believes of one worker for one function, for accounts of its decisions.
     *
     * @param standing   a copy is believed to stand; {@code loading}: one was ordered
     * @param belowLimit it is not saturated
     * @param load       told by it of all dispatchers' requests, faded
     */
    record Belief(
            String worker,
            boolean up,
            boolean ejected,
            boolean cold,
            boolean standing,
            boolean loading,
            boolean belowLimit,
            int inFlight,
            double limit,
            double load,
            double failures) {}

    /** What is believed of all workers now; changes no later decision. */
    default List<Belief> beliefs(long now, String function) {
        return List.of();
    }

    /** The membership of the fleet changed or was told. */
    void members(long now, ListMode mode, long revision, List<Worker> entries);

    /** A request arrived; one final answer is owed. */
    void query(long now, Request request);

    /** A request ended without this dispatcher: its client left. */
    void clientLeft(long now, String request);

    /** A probe ended. */
    default void probed(long now, String worker, Outcome outcome, long tookNs, Map<String, Double> report) {}

    /** A streamed answer began; the client deadline no longer runs. */
    void established(long now, String request, int attempt, String worker);

    /** Another dispatcher sent bytes. */
    default void inbox(long now, int peer, byte[] payload) {}

    /** A timer is due. */
    void due(long now, String token);

    /** An attempt ended. */
    void completed(long now, Completion completion);

    /** An order to hold copies ended with {@code count} copies standing. */
    void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs);

    /** Whether a copy of the function is believed to stand on a worker in use; changes nothing. */
    default boolean believedWarm(long now, String function) {
        return false;
    }

    /** A request like this one will come soon; what it lacks may be ordered ahead, within all limits on loads. */
    default void expected(long now, Request request) {}

    /** What a dispatcher may do; every call takes effect at the time of the event being handled. */
    interface Actions {
        /** Sends the request to the worker; a time-out of 0 lasts until the client gives up. */
        void attempt(String request, String worker, long timeoutNs);

        /** Stops waiting for one attempt. */
        void cancel(String request, int attempt);

        /** Final answer: refused, a retry is harmless; 0 gives no advice how long to wait. */
        void refuse(String request, long coolDownNs);

        /** Final answer: failed, it may have run. */
        void fail(String request);

        /** Orders a worker to hold at least {@code count} copies; 0 only asks. */
        void hold(String worker, String function, int count);

        /** Has a function's idle copies unloaded. */
        void unload(String worker, String function);

        /** Probes a worker. */
        void probe(String worker);

        /** Asks for {@link #due} after a delay. */
        void timer(String token, long delayNs);

        /** Sends bytes to a peer, or to all with -1. */
        void publish(int peer, byte[] payload);

        /** Subscribes to list changes or ends that. */
        void listen(boolean on);

        /** Asks once for the whole list. */
        void reload();

        /** Gives back idle connections to a worker. */
        void hangUp(String worker);

        /** A line for staff. */
        void remark(String text);
    }

    /** All that is told at the start; absent keys are 0, false or null. */
    record Settings(
            int groupSize,
            int myNumber,
            long tickNs,
            String zone,
            List<String> zones,
            List<String> kinds,
            Discovery discovery,
            Weights weights,
            WorthBy worthBy,
            double overShareWorth,
            List<RequestClass> classes,
            List<Realm> realms,
            FamilyInfo familyInfo,
            Feedback feedback,
            Goal goal,
            Limits limits,
            Obligations obligations,
            Prices prices,
            Callers callers) {}

    /** A class of requests. */
    record RequestClass(
            String name,
            Effect effect,
            Group group,
            long windowNs,
            long onTimeNs,
            long hardLimitNs,
            double worth,
            double lateWorth,
            boolean stream,
            double aimStretch) {}

    /** A tenant with its share of the service. */
    record Realm(String name, double share, double quotaPerS) {}

    /** How functions are loaded and kept. */
    record FamilyInfo(
            long keepNs,
            boolean loadControl,
            NotLoaded notLoaded,
            long loadWaitNs,
            long loadPeriodNs,
            double loadRatio,
            double loadsAnyway,
            double priceOfIdle,
            List<Double> ramMbByKind,
            String reportX0,
            String reportX1,
            boolean saysCompany,
            boolean warmNotes) {}

    /** Which load reports there are. */
    record Feedback(Reports how, List<String> names) {}

    /** What the result weighs. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** What the site allows. */
    record Limits(
            boolean cancelling,
            boolean peers,
            boolean probes,
            boolean secondCopies,
            boolean retryAfter,
            int maxAttempts,
            int maxOpen,
            long maxRetryAfterNs,
            long dialTimeoutNs,
            long connIdleNs,
            int streamsPerConn,
            double cpuUsPerS,
            double cpuUsPerRequest) {}

    /** Figures of the rules. */
    record Obligations(
            long askWithinNs,
            double coldFrom,
            long warmAfterNs,
            double overloadFactor,
            long tipAfterNs,
            long stopSendingWithinNs,
            long graceToAnswerNs) {}

    /** Points taken off for each unit of use. */
    record Prices(double crossZone, double waste, double origin, double probe, double peer, double lateFail) {}

    /** How clients behave. */
    record Callers(boolean marksRetry) {}
}

package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;

/**
 * An input of a dispatcher: one record for each method of {@link Dispatcher} that is recorded, and markers for the start of an incarnation,
 * for lost frames and for client ids. The simple names of the records and their components are stored. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public sealed interface Event {
    /** Passes the event to a dispatcher, which calls the actions that it was created with. */
    default void applyTo(long now, Dispatcher dispatcher) {}

    /** The id of the call that the event concerns, or null. */
    default String request() {
        return null;
    }

    /** The id of the worker that the event concerns, or null. */
    default String worker() {
        return null;
    }

    /** The start of an incarnation: a new dispatcher was created; {@code number} counts the incarnations of one process. */
    record Life(int number, long seed, DispatcherSettings settings) implements Event {}

    /** Marks the place where {@code lost} frames are missing. */
    record Gap(long lost) implements Event {}

    /** The client's id {@code outer} of a call. */
    record Named(String request, String outer) implements Event {}

    /** An endpoint update, full or incremental. */
    record Members(EndpointUpdateMode mode, long revision, List<Endpoint> workers) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onEndpointUpdate(now, mode, revision, workers);
        }
    }

    /** A call was received. */
    record Query(Request call) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onRequest(now, call);
        }

        @Override
        public String request() {
            return call.id();
        }
    }

    /** A call was announced for prefetch. */
    record Expected(Request call) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onRequestExpected(now, call);
        }
    }

    /** The dispatcher was asked whether a function is cached; {@code warm} is its result. */
    record AskedWarm(String function, boolean warm) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.isCached(now, function);
        }
    }

    /** A client cancelled its call. */
    record ClientLeft(String request) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onClientCancelled(now, request);
        }
    }

    /** A probe completed. */
    record Probed(String worker, Outcome outcome, long tookNanos, Map<String, Double> report) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onProbeCompleted(now, worker, outcome, tookNanos, report);
        }
    }

    /** A streamed response started. */
    record Established(String request, int attempt, String worker) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onStreamStarted(now, request, attempt, worker);
        }
    }

    /** A message from another gateway was received. */
    record Inbox(int peer, byte[] payload) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onPeerMessage(now, peer, payload);
        }
    }

    /** A timer fired. */
    record Due(String token) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onTimer(now, token);
        }

        @Override
        public String request() {
            int colon = token.indexOf(':');
            return colon < 0 ? null : token.substring(colon + 1);
        }
    }

    /** An attempt completed. */
    record Completed(AttemptCompletion how) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onAttemptCompleted(now, how);
        }

        @Override
        public String request() {
            return how.request();
        }

        @Override
        public String worker() {
            return how.worker();
        }
    }

    /** A load order completed. */
    record Resident(String worker, String function, int count, Outcome outcome, long tookNanos) implements Event {
        @Override
        public void applyTo(long now, Dispatcher dispatcher) {
            dispatcher.onLoadCompleted(now, worker, function, count, outcome, tookNanos);
        }
    }
}

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

/** What a dispatcher was told; one record for each method, and a few marks. Immutable. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public sealed interface Event {
    /** Tells it; what the dispatcher decides goes to the actions that it was made with. */
    default void tell(long now, Dispatcher to) {}

    /** The call that it is about, or null. */
    default String request() {
        return null;
    }

    /** The worker that it is about, or null. */
    default String worker() {
        return null;
    }

    /** A new dispatcher begins; {@code number} counts those of one process. */
    record Life(int number, long seed, DispatcherSettings settings) implements Event {}

    /** So many frames were lost here. */
    record Gap(long lost) implements Event {}

    /** The client's name of a call. */
    record Named(String request, String outer) implements Event {}

    /** A list or its change. */
    record Members(EndpointUpdateMode mode, long revision, List<Endpoint> workers) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onEndpointUpdate(now, mode, revision, workers);
        }
    }

    /** A call. */
    record Query(Request call) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onRequest(now, call);
        }

        @Override
        public String request() {
            return call.id();
        }
    }

    /** A call that will come. */
    record Expected(Request call) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onRequestExpected(now, call);
        }
    }

    /** It was asked; {@code warm} is what it said. */
    record AskedWarm(String function, boolean warm) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.isCached(now, function);
        }
    }

    /** A client left. */
    record ClientLeft(String request) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onClientCancelled(now, request);
        }
    }

    /** A probe ended. */
    record Probed(String worker, Outcome outcome, long tookNanos, Map<String, Double> report) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onProbeCompleted(now, worker, outcome, tookNanos, report);
        }
    }

    /** A streamed answer began. */
    record Established(String request, int attempt, String worker) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onStreamStarted(now, request, attempt, worker);
        }
    }

    /** Another gateway sent bytes. */
    record Inbox(int peer, byte[] payload) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onPeerMessage(now, peer, payload);
        }
    }

    /** A timer was due. */
    record Due(String token) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onTimer(now, token);
        }

        @Override
        public String request() {
            int colon = token.indexOf(':');
            return colon < 0 ? null : token.substring(colon + 1);
        }
    }

    /** An attempt ended. */
    record Completed(AttemptCompletion how) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onAttemptCompleted(now, how);
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

    /** An order ended. */
    record Resident(String worker, String function, int count, Outcome outcome, long tookNanos) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.onLoadCompleted(now, worker, function, count, outcome, tookNanos);
        }
    }
}

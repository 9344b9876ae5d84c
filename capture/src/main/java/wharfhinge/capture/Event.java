package wharfhinge.capture;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import wharfhinge.Dispatcher;
import wharfhinge.Dispatcher.Completion;
import wharfhinge.Dispatcher.ListMode;
import wharfhinge.Dispatcher.Outcome;
import wharfhinge.Dispatcher.Request;
import wharfhinge.Dispatcher.Settings;
import wharfhinge.Dispatcher.Worker;

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
    record Life(int number, long seed, Settings settings) implements Event {}

    /** So many frames were lost here. */
    record Gap(long lost) implements Event {}

    /** The client's name of a call. */
    record Named(String request, String outer) implements Event {}

    /** A list or its change. */
    record Members(ListMode mode, long revision, List<Worker> workers) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.members(now, mode, revision, workers);
        }
    }

    /** A call. */
    record Query(Request call) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.query(now, call);
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
            to.expected(now, call);
        }
    }

    /** It was asked; {@code warm} is what it said. */
    record AskedWarm(String function, boolean warm) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.believedWarm(now, function);
        }
    }

    /** A client left. */
    record ClientLeft(String request) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.clientLeft(now, request);
        }
    }

    /** A probe ended. */
    record Probed(String worker, Outcome outcome, long tookNs, Map<String, Double> report) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.probed(now, worker, outcome, tookNs, report);
        }
    }

    /** A streamed answer began. */
    record Established(String request, int attempt, String worker) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.established(now, request, attempt, worker);
        }
    }

    /** Another gateway sent bytes. */
    record Inbox(int peer, byte[] payload) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.inbox(now, peer, payload);
        }
    }

    /** A timer was due. */
    record Due(String token) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.due(now, token);
        }

        @Override
        public String request() {
            int colon = token.indexOf(':');
            return colon < 0 ? null : token.substring(colon + 1);
        }
    }

    /** An attempt ended. */
    record Completed(Completion how) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.completed(now, how);
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
    record Resident(String worker, String function, int count, Outcome outcome, long tookNs) implements Event {
        @Override
        public void tell(long now, Dispatcher to) {
            to.resident(now, worker, function, count, outcome, tookNs);
        }
    }
}

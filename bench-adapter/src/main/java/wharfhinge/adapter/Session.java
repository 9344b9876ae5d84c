package wharfhinge.adapter;

import com.google.gson.JsonParseException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharfhinge.policy.AttemptCompletion;
import wharfhinge.policy.Availability;
import wharfhinge.policy.CacheAwareDispatcher;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Endpoint;
import wharfhinge.policy.EndpointUpdateMode;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.settings.SettingsJson;

/** Serves one stream of batches: decodes events, passes each to its dispatcher instance, writes one reply per batch. */
final class Session {
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();
    /** Of {@code remark}: the low bits hold the cache status, the rest the concurrent requests found on the worker. */
    private static final int CACHE_STATUS_MASK = 7;

    private static final int CONCURRENT_SHIFT = 3;
    /** Of {@code opts}: bit 0 marks the cost as known, the others a retry and a write. */
    private static final int RETRY_BIT = 2;

    private static final int WRITE_BIT = 4;

    private final InputStream in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 10);
    private final Map<Integer, Instance> instances = new HashMap<>();
    private long lineNumber;
    private long now;

    /** A dispatcher and the writer of its actions. */
    private record Instance(Dispatcher dispatcher, WireActions actions) {}

    private interface Event {
        void deliver(Dispatcher dispatcher);
    }

    Session(InputStream in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    /** Serves batches until the input ends. */
    void run() throws IOException, MalformedInputException {
        for (String line = readLine(); line != null; line = readLine()) {
            Fields fields = new Fields(line, lineNumber);
            if (!fields.text("message").equals("TICK")) {
                throw fields.malformed("a batch begins with TICK");
            }
            long clock = fields.longValue("clock");
            fields.expectEnd();
            if (clock < now) {
                throw fields.malformed("the clock runs backwards");
            }
            now = clock;
            batch();
            reply.append("FINISHED\n");
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    /** Processes the events of one batch up to its {@code COMMIT}. */
    private void batch() throws IOException, MalformedInputException {
        while (true) {
            String line = requireLine();
            Fields fields = new Fields(line, lineNumber);
            String message = fields.text("message");
            if (message.equals("COMMIT")) {
                fields.expectEnd();
                return;
            }
            event(message, fields);
        }
    }

    private void event(String message, Fields fields) throws IOException, MalformedInputException {
        switch (message) {
            case "BEGIN" -> begin(fields);
            case "MEMBERS" -> members(fields);
            case "QUERY" -> query(fields);
            case "COMPLETED" -> completed(fields);
            case "DUE" -> {
                int instanceId = fields.intValue("i");
                String token = fields.rest("token");
                deliver(fields, instanceId, d -> d.onTimer(now, token));
            }
            case "TIMED_OUT_CLIENT" -> {
                int instanceId = fields.intValue("i");
                String call = fields.required("call");
                deliver(fields, instanceId, d -> d.onClientCancelled(now, call));
            }
            case "CHECKED" -> {
                int instanceId = fields.intValue("i");
                String worker = fields.required("runner");
                Outcome outcome = outcome(fields);
                long tookNanos = fields.longOrZero("time_taken_ns");
                Map<String, Double> report = fields.pairs("telemetry");
                deliver(fields, instanceId, d -> d.onProbeCompleted(now, worker, outcome, tookNanos, report));
            }
            case "ESTABLISHED" -> {
                int instanceId = fields.intValue("i");
                String call = fields.required("call");
                fields.longOrZero("time_taken_ns");
                int attempt = fields.intOrZero("attempt");
                String worker = fields.required("runner");
                deliver(fields, instanceId, d -> d.onStreamStarted(now, call, attempt, worker));
            }
            case "INBOX" -> {
                int instanceId = fields.intValue("i");
                int peer = fields.intValue("src_peer");
                byte[] payload = fields.hex("payload");
                deliver(fields, instanceId, d -> d.onPeerMessage(now, peer, payload));
            }
            case "RESIDENT" -> {
                int instanceId = fields.intValue("i");
                long tookNanos = fields.longOrZero("time_taken_ns");
                int count = fields.intOrZero("count");
                Outcome outcome = outcome(fields);
                String worker = fields.required("runner");
                String function = fields.required("model");
                deliver(fields, instanceId, d -> d.onLoadCompleted(now, worker, function, count, outcome, tookNanos));
            }
            case "RETIRE" -> {
                int instanceId = fields.intValue("i");
                fields.expectEnd();
                if (instances.remove(instanceId) == null) {
                    throw fields.malformed("instance never begun: " + instanceId);
                }
            }
            default -> throw fields.malformed("unknown message: " + message);
        }
    }

    /** Passes an event to its instance; an exception that the dispatcher throws becomes a line of the reply. */
    private void deliver(Fields fields, int instanceId, Event event) throws MalformedInputException {
        fields.expectEnd();
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            throw fields.malformed("instance never begun: " + instanceId);
        }
        try {
            event.deliver(instance.dispatcher());
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            instance.actions().reportException(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void begin(Fields fields) throws MalformedInputException {
        int instanceId = fields.intValue("i");
        long seed = fields.longValue("random_seed");
        String env = fields.rest("env");
        DispatcherSettings settings;
        try {
            settings = SettingsJson.parse(env);
        } catch (JsonParseException e) {
            throw fields.malformed("settings: " + e.getMessage());
        }
        WireActions actions = new WireActions(reply, instanceId);
        try {
            instances.put(instanceId, new Instance(new CacheAwareDispatcher(now, seed, settings, actions), actions));
        } catch (IllegalArgumentException e) {
            throw fields.malformed("settings: " + e.getMessage());
        }
    }

    private void members(Fields fields) throws IOException, MalformedInputException {
        int instanceId = fields.intValue("i");
        EndpointUpdateMode mode =
                switch (fields.required("mode")) {
                    case "changes" -> EndpointUpdateMode.INCREMENTAL;
                    case "all" -> EndpointUpdateMode.FULL;
                    case "remembered" -> EndpointUpdateMode.SNAPSHOT;
                    case "refused" -> EndpointUpdateMode.REJECTED;
                    default -> throw fields.malformed("unknown mode");
                };
        long revision = fields.longOrZero("rev");
        int count = fields.intOrZero("elements");
        List<Endpoint> entries = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            entries.add(entry(new Fields(requireLine(), lineNumber)));
        }
        deliver(fields, instanceId, d -> d.onEndpointUpdate(now, mode, revision, entries));
    }

    private static Endpoint entry(Fields fields) throws MalformedInputException {
        if (!fields.text("message").equals("M")) {
            throw fields.malformed("an entry begins with M");
        }
        String worker = fields.required("runner");
        String zone = fields.optional("area");
        String kind = fields.optional("sku");
        int cell = fields.intOrZero("pack");
        Availability availability =
                switch (fields.required("availability")) {
                    case "U" -> Availability.UP;
                    case "L" -> Availability.DRAINING;
                    case "D" -> Availability.REMOVED;
                    default -> throw fields.malformed("unknown availability");
                };
        double weight = fields.doubleOrZero("power_hint");
        long startedAt = fields.longOrZero("boot_time_ns");
        fields.expectEnd();
        return new Endpoint(worker, zone, kind, cell, availability, weight, startedAt);
    }

    private void query(Fields fields) throws MalformedInputException {
        int instanceId = fields.intValue("i");
        String call = fields.required("call");
        String tenant = fields.optional("project");
        long remainingNanos = fields.longValue("remaining_ns");
        double memoryMb = fields.doubleOrZero("resident_mb");
        String function = fields.required("model");
        long costNanos = fields.longOrZero("cost_ns");
        int concurrencyPerCopy = (int) fields.doubleOrZero("lanes");
        double loadMillis = fields.doubleOrZero("warm_ms");
        String requestClass = fields.required("priority");
        int options = fields.intOrZero("opts");
        Request request = new Request(
                call,
                tenant,
                remainingNanos,
                memoryMb,
                function,
                (options & 1) != 0 ? costNanos : 0,
                concurrencyPerCopy,
                loadMillis,
                requestClass,
                (options & RETRY_BIT) != 0,
                (options & WRITE_BIT) != 0);
        deliver(fields, instanceId, d -> d.onRequest(now, request));
    }

    private void completed(Fields fields) throws MalformedInputException {
        int instanceId = fields.intValue("i");
        String call = fields.required("call");
        Outcome outcome = outcome(fields);
        int attempt = fields.intOrZero("attempt");
        long tookNanos = fields.longOrZero("time_taken_ns");
        String worker = fields.required("runner");
        int remark = fields.intOrZero("remark");
        boolean answered = fields.flag("settled");
        Map<String, Double> report = fields.pairs("telemetry");
        int cacheStatus = remark & CACHE_STATUS_MASK;
        if (remark < 0 || cacheStatus >= CACHE_STATUSES.length) {
            throw fields.malformed("unknown remark: " + remark);
        }
        AttemptCompletion completion = new AttemptCompletion(
                call,
                outcome,
                attempt,
                tookNanos,
                worker,
                CACHE_STATUSES[cacheStatus],
                remark >> CONCURRENT_SHIFT,
                answered,
                report);
        deliver(fields, instanceId, d -> d.onAttemptCompleted(now, completion));
    }

    private static Outcome outcome(Fields fields) throws MalformedInputException {
        int code = fields.intValue("verdict");
        return switch (code) {
            case 0 -> Outcome.SERVED;
            case 2 -> Outcome.NOT_LOADED;
            case 5 -> Outcome.ERROR;
            case 11 -> Outcome.SATURATED;
            case 104 -> Outcome.RESET;
            case 110 -> Outcome.TIMEOUT;
            case 111 -> Outcome.CONNECT_FAILED;
            case 114 -> Outcome.SUPERSEDED;
            case 125 -> Outcome.CANCELLED;
            default -> throw fields.malformed("unknown verdict: " + code);
        };
    }

    private String requireLine() throws IOException, MalformedInputException {
        String line = readLine();
        if (line == null) {
            throw new MalformedInputException(lineNumber, "the input ends within a batch");
        }
        return line;
    }

    private String readLine() throws IOException {
        buffer.reset();
        int nextByte = in.read();
        if (nextByte < 0) {
            return null;
        }
        while (nextByte >= 0 && nextByte != '\n') {
            buffer.write(nextByte);
            nextByte = in.read();
        }
        lineNumber++;
        return buffer.toString(StandardCharsets.UTF_8);
    }
}

package wharfhinge.capture;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import wharfhinge.policy.Dispatcher;
import wharfhinge.policy.DispatcherActions;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Outcome;
import wharfhinge.policy.Request;
import wharfhinge.policy.Tenant;
import wharfhinge.policy.WorkerSnapshot;

/**
 * Stands before a dispatcher and has it know functions and tenants by keyed hashes alone (HMAC-SHA-256, 16 digits), so that
 * what is captured of it holds no names and still replays: the decisions themselves go by the hashes. Gateways of one fleet
 * must have one key, for homes are derived from the name. Names are remembered to be told back in orders, {@value #MAX_KNOWN_NAMES} of
 * them; an order for one that was forgotten is left out and remarked. One thread.
 */
public final class HashedNames extends ForwardingDispatcher {
    private static final int MAX_KNOWN_NAMES = 65_536;
    private static final int HASH_DIGITS = 16;

    private final Table table;

    private HashedNames(Table table, Dispatcher to) {
        super(to);
        this.table = table;
    }

    /** Makes the dispatcher that stands behind. {@code key} is any secret; it is not kept in captures. */
    public static HashedNames before(
            Recorder.DispatcherConstructor maker,
            byte[] key,
            long now,
            long seed,
            DispatcherSettings settings,
            DispatcherActions actions) {
        Table table = new Table(key);
        return new HashedNames(table, maker.create(now, seed, table.hashed(settings), new Named(table, actions)));
    }

    @Override
    public void onRequest(long now, Request request) {
        super.onRequest(now, table.hashed(request));
    }

    @Override
    public void onRequestExpected(long now, Request request) {
        super.onRequestExpected(now, table.hashed(request));
    }

    @Override
    public boolean isCached(long now, String function) {
        return super.isCached(now, table.hash(function));
    }

    @Override
    public List<WorkerSnapshot> workerStates(long now, String function) {
        return super.workerStates(now, table.hash(function));
    }

    @Override
    public void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos) {
        super.onLoadCompleted(now, worker, table.hash(function), count, outcome, tookNanos);
    }

    /** Tells functions by their names again. */
    private static final class Named extends ForwardingActions {
        private final Table table;

        Named(Table table, DispatcherActions doing) {
            super(doing);
            this.table = table;
        }

        @Override
        public void ensureLoaded(String worker, String function, int count) {
            String name = table.names.get(function);
            if (name == null) {
                logDiagnostic("order for a function whose name was forgotten is left out: " + function);
            } else {
                super.ensureLoaded(worker, name, count);
            }
        }

        @Override
        public void unload(String worker, String function) {
            String name = table.names.get(function);
            if (name != null) {
                super.unload(worker, name);
            }
        }
    }

    /** Names and hashes; those asked for longest ago are forgotten. */
    private static final class Table {
        private final Mac mac;
        private final Map<String, String> hashes = new LinkedHashMap<>(64, 0.75f, true);
        private final Map<String, String> names = new HashMap<>();

        Table(byte[] key) {
            try {
                mac = Mac.getInstance("HmacSHA256");
                mac.init(new SecretKeySpec(key, "HmacSHA256"));
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        }

        String hash(String name) {
            if (name == null) {
                return null;
            }
            String known = hashes.get(name);
            if (known != null) {
                return known;
            }
            String hash = HexFormat.of()
                    .formatHex(mac.doFinal(name.getBytes(StandardCharsets.UTF_8)))
                    .substring(0, HASH_DIGITS);
            hashes.put(name, hash);
            names.put(hash, name);
            if (hashes.size() > MAX_KNOWN_NAMES) {
                String eldest = hashes.keySet().iterator().next();
                names.remove(hashes.remove(eldest));
            }
            return hash;
        }

        DispatcherSettings hashed(DispatcherSettings s) {
            List<Tenant> realms = s.tenants() == null
                    ? null
                    : s.tenants().stream()
                            .map(r -> new Tenant(hash(r.name()), r.share(), r.quotaPerSecond()))
                            .toList();
            return new DispatcherSettings(
                    s.groupSize(),
                    s.dispatcherNumber(),
                    s.tickNanos(),
                    s.zone(),
                    s.zones(),
                    s.kinds(),
                    s.discovery(),
                    s.weightReporting(),
                    s.priorityUnit(),
                    s.overQuotaPriorityWeight(),
                    s.classes(),
                    realms,
                    s.functionLoading(),
                    s.feedback(),
                    s.objectiveWeights(),
                    s.limits(),
                    s.protectionRules(),
                    s.prices(),
                    s.clientBehavior());
        }

        Request hashed(Request r) {
            return new Request(
                    r.id(),
                    hash(r.tenant()),
                    r.remainingNanos(),
                    r.memoryMb(),
                    hash(r.function()),
                    r.costNanos(),
                    r.concurrencyPerCopy(),
                    r.loadMillis(),
                    r.requestClass(),
                    r.retry(),
                    r.write());
        }
    }
}

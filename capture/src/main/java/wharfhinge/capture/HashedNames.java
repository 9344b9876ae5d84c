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
 * Wraps a dispatcher and passes it keyed hashes (HMAC-SHA-256, 16 hexadecimal digits) in place of the names of functions and tenants.
 * Captures of the dispatcher thus contain no names and still replay, because the decisions themselves depend on the hashes. All gateways
 * of a fleet must use the same key, since preferred workers are derived from the name. The names of the last {@value #MAX_KNOWN_NAMES}
 * functions and tenants are kept to restore them in load orders; a load order whose name was evicted is skipped with a diagnostic.
 * Not thread-safe.
 */
public final class HashedNames extends ForwardingDispatcher {
    private static final int MAX_KNOWN_NAMES = 65_536;
    private static final int HASH_DIGITS = 16;

    private final NameTable table;

    private HashedNames(NameTable table, Dispatcher delegate) {
        super(delegate);
        this.table = table;
    }

    /** Creates the wrapped dispatcher. {@code key} is any secret; it is not stored in captures. */
    public static HashedNames wrap(
            Recorder.DispatcherConstructor constructor,
            byte[] key,
            long now,
            long seed,
            DispatcherSettings settings,
            DispatcherActions actions) {
        NameTable table = new NameTable(key);
        return new HashedNames(
                table, constructor.create(now, seed, table.hashed(settings), new NameRestoringActions(table, actions)));
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

    /** Restores the names of functions in actions. */
    private static final class NameRestoringActions extends ForwardingActions {
        private final NameTable table;

        NameRestoringActions(NameTable table, DispatcherActions delegate) {
            super(delegate);
            this.table = table;
        }

        @Override
        public void ensureLoaded(String worker, String function, int count) {
            String name = table.names.get(function);
            if (name == null) {
                logDiagnostic("load order skipped, since the name of the hashed function was evicted: " + function);
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

    /** Maps names to hashes and back; the least recently used entries are evicted. */
    private static final class NameTable {
        private final Mac mac;
        private final Map<String, String> hashes = new LinkedHashMap<>(64, 0.75f, true);
        private final Map<String, String> names = new HashMap<>();

        NameTable(byte[] key) {
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

        DispatcherSettings hashed(DispatcherSettings settings) {
            List<Tenant> hashedTenants = settings.tenants() == null
                    ? null
                    : settings.tenants().stream()
                            .map(tenant -> new Tenant(hash(tenant.name()), tenant.share(), tenant.quotaPerSecond()))
                            .toList();
            return new DispatcherSettings(
                    settings.groupSize(),
                    settings.dispatcherNumber(),
                    settings.tickNanos(),
                    settings.zone(),
                    settings.zones(),
                    settings.kinds(),
                    settings.discovery(),
                    settings.weightReporting(),
                    settings.priorityUnit(),
                    settings.overQuotaPriorityWeight(),
                    settings.classes(),
                    hashedTenants,
                    settings.functionLoading(),
                    settings.feedback(),
                    settings.objectiveWeights(),
                    settings.limits(),
                    settings.protectionRules(),
                    settings.prices(),
                    settings.clientBehavior());
        }

        Request hashed(Request request) {
            return new Request(
                    request.id(),
                    hash(request.tenant()),
                    request.remainingNanos(),
                    request.memoryMb(),
                    hash(request.function()),
                    request.costNanos(),
                    request.concurrencyPerCopy(),
                    request.loadMillis(),
                    request.requestClass(),
                    request.retry(),
                    request.write());
        }
    }
}

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
import wharfhinge.Dispatcher;

/**
 * Stands before a dispatcher and has it know functions and tenants by keyed hashes alone (HMAC-SHA-256, 16 digits), so that
 * what is captured of it holds no names and still replays: the decisions themselves go by the hashes. Gateways of one fleet
 * must have one key, for homes are derived from the name. Names are remembered to be told back in orders, {@value #KNOWN} of
 * them; an order for one that was forgotten is left out and remarked. One thread.
 */
public final class HashedNames extends Forwarding {
    private static final int KNOWN = 65_536;
    private static final int DIGITS = 16;

    private final Table table;

    private HashedNames(Table table, Dispatcher to) {
        super(to);
        this.table = table;
    }

    /** Makes the dispatcher that stands behind. {@code key} is any secret; it is not kept in captures. */
    public static HashedNames before(
            Recorder.Maker maker, byte[] key, long now, long seed, Settings settings, Actions actions) {
        Table table = new Table(key);
        return new HashedNames(table, maker.create(now, seed, table.hashed(settings), new Named(table, actions)));
    }

    @Override
    public void query(long now, Request request) {
        super.query(now, table.hashed(request));
    }

    @Override
    public void expected(long now, Request request) {
        super.expected(now, table.hashed(request));
    }

    @Override
    public boolean believedWarm(long now, String function) {
        return super.believedWarm(now, table.hash(function));
    }

    @Override
    public List<Belief> beliefs(long now, String function) {
        return super.beliefs(now, table.hash(function));
    }

    @Override
    public void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs) {
        super.resident(now, worker, table.hash(function), count, outcome, tookNs);
    }

    /** Tells functions by their names again. */
    private static final class Named extends ForwardingActions {
        private final Table table;

        Named(Table table, Actions doing) {
            super(doing);
            this.table = table;
        }

        @Override
        public void hold(String worker, String function, int count) {
            String name = table.names.get(function);
            if (name == null) {
                remark("order for a function whose name was forgotten is left out: " + function);
            } else {
                super.hold(worker, name, count);
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
                    .substring(0, DIGITS);
            hashes.put(name, hash);
            names.put(hash, name);
            if (hashes.size() > KNOWN) {
                String eldest = hashes.keySet().iterator().next();
                names.remove(hashes.remove(eldest));
            }
            return hash;
        }

        Settings hashed(Settings s) {
            List<Realm> realms = s.realms() == null
                    ? null
                    : s.realms().stream()
                            .map(r -> new Realm(hash(r.name()), r.share(), r.quotaPerS()))
                            .toList();
            return new Settings(
                    s.groupSize(),
                    s.myNumber(),
                    s.tickNs(),
                    s.zone(),
                    s.zones(),
                    s.kinds(),
                    s.discovery(),
                    s.weights(),
                    s.worthBy(),
                    s.overShareWorth(),
                    s.classes(),
                    realms,
                    s.familyInfo(),
                    s.feedback(),
                    s.goal(),
                    s.limits(),
                    s.obligations(),
                    s.prices(),
                    s.callers());
        }

        Request hashed(Request r) {
            return new Request(
                    r.id(),
                    hash(r.tenant()),
                    r.remainingNs(),
                    r.memoryMb(),
                    hash(r.function()),
                    r.costNs(),
                    r.lanes(),
                    r.loadMs(),
                    r.requestClass(),
                    r.repeat(),
                    r.write());
        }
    }
}

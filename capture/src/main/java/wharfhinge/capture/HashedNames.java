package wharfhinge.capture;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
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
public final class HashedNames implements Dispatcher {
    private static final int KNOWN = 65_536;
    private static final int DIGITS = 16;

    private final Dispatcher to;
    private final Mac mac;
    private final Map<String, String> hashes = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<String, String> names = new LinkedHashMap<>();

    /** Makes the dispatcher that stands behind. {@code key} is any secret; it is not kept in captures. */
    public HashedNames(Recorder.Maker maker, byte[] key, long now, long seed, Settings settings, Actions actions) {
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
        to = maker.create(now, seed, hashed(settings), new Named(actions));
    }

    private String hash(String name) {
        if (name == null) {
            return null;
        }
        String known = hashes.get(name);
        if (known != null) {
            return known;
        }
        String hash = HexFormat.of().formatHex(mac.doFinal(name.getBytes(StandardCharsets.UTF_8))).substring(0, DIGITS);
        hashes.put(name, hash);
        names.put(hash, name);
        if (hashes.size() > KNOWN) {
            String eldest = hashes.keySet().iterator().next();
            names.remove(hashes.remove(eldest));
        }
        return hash;
    }

    private Settings hashed(Settings s) {
        List<Realm> realms = s.realms() == null ? null
            : s.realms().stream().map(r -> new Realm(hash(r.name()), r.share(), r.quotaPerS())).toList();
        return new Settings(s.groupSize(), s.myNumber(), s.tickNs(), s.zone(), s.zones(), s.kinds(), s.discovery(), s.weights(),
            s.worthBy(), s.overShareWorth(), s.classes(), realms, s.familyInfo(), s.feedback(), s.goal(), s.limits(),
            s.obligations(), s.prices(), s.callers());
    }

    private Request hashed(Request r) {
        return new Request(r.id(), hash(r.tenant()), r.remainingNs(), r.memoryMb(), hash(r.function()), r.costNs(), r.lanes(),
            r.loadMs(), r.requestClass(), r.repeat(), r.write());
    }

    @Override
    public void members(long now, ListMode mode, long revision, List<Worker> entries) {
        to.members(now, mode, revision, entries);
    }

    @Override
    public void query(long now, Request request) {
        to.query(now, hashed(request));
    }

    @Override
    public void expected(long now, Request request) {
        to.expected(now, hashed(request));
    }

    @Override
    public boolean believedWarm(long now, String function) {
        return to.believedWarm(now, hash(function));
    }

    @Override
    public List<Belief> beliefs(long now, String function) {
        return to.beliefs(now, hash(function));
    }

    @Override
    public void clientLeft(long now, String request) {
        to.clientLeft(now, request);
    }

    @Override
    public void probed(long now, String worker, Outcome outcome, long tookNs, Map<String, Double> report) {
        to.probed(now, worker, outcome, tookNs, report);
    }

    @Override
    public void established(long now, String request, int attempt, String worker) {
        to.established(now, request, attempt, worker);
    }

    @Override
    public void inbox(long now, int peer, byte[] payload) {
        to.inbox(now, peer, payload);
    }

    @Override
    public void due(long now, String token) {
        to.due(now, token);
    }

    @Override
    public void completed(long now, Completion completion) {
        to.completed(now, completion);
    }

    @Override
    public void resident(long now, String worker, String function, int count, Outcome outcome, long tookNs) {
        to.resident(now, worker, hash(function), count, outcome, tookNs);
    }

    /** Tells functions by their names again. */
    private final class Named implements Actions {
        private final Actions doing;

        Named(Actions doing) {
            this.doing = doing;
        }

        @Override
        public void attempt(String request, String worker, long timeoutNs) {
            doing.attempt(request, worker, timeoutNs);
        }

        @Override
        public void cancel(String request, int attempt) {
            doing.cancel(request, attempt);
        }

        @Override
        public void refuse(String request, long coolDownNs) {
            doing.refuse(request, coolDownNs);
        }

        @Override
        public void fail(String request) {
            doing.fail(request);
        }

        @Override
        public void hold(String worker, String function, int count) {
            String name = names.get(function);
            if (name == null) {
                doing.remark("order for a function whose name was forgotten is left out: " + function);
            } else {
                doing.hold(worker, name, count);
            }
        }

        @Override
        public void unload(String worker, String function) {
            String name = names.get(function);
            if (name != null) {
                doing.unload(worker, name);
            }
        }

        @Override
        public void probe(String worker) {
            doing.probe(worker);
        }

        @Override
        public void timer(String token, long delayNs) {
            doing.timer(token, delayNs);
        }

        @Override
        public void publish(int peer, byte[] payload) {
            doing.publish(peer, payload);
        }

        @Override
        public void listen(boolean on) {
            doing.listen(on);
        }

        @Override
        public void reload() {
            doing.reload();
        }

        @Override
        public void hangUp(String worker) {
            doing.hangUp(worker);
        }

        @Override
        public void remark(String text) {
            doing.remark(text);
        }
    }
}

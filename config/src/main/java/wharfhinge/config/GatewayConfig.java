package wharfhinge.config;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.admission.TenantQuota;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.ClientBehavior;
import wharfhinge.policy.DeduplicationScope;
import wharfhinge.policy.Discovery;
import wharfhinge.policy.DispatchLimits;
import wharfhinge.policy.DispatcherSettings;
import wharfhinge.policy.Effect;
import wharfhinge.policy.FunctionLoading;
import wharfhinge.policy.LoadFeedback;
import wharfhinge.policy.LoadReporting;
import wharfhinge.policy.ObjectiveWeights;
import wharfhinge.policy.OnMissBehavior;
import wharfhinge.policy.Prices;
import wharfhinge.policy.PriorityUnit;
import wharfhinge.policy.ProtectionRules;
import wharfhinge.policy.RequestClass;
import wharfhinge.policy.Tenant;
import wharfhinge.policy.WeightReporting;

/**
 * All that one gateway is set to, checked. Times are nanoseconds, sizes bytes.
 *
 * @param settings what the decisions are told
 * @param capture  null where nothing is captured
 * @param grpc     null where gRPC is not served
 * @param door     limits by tenant, with an entry for others; null where all are let in
 * @param tls      null where calls come in the clear
 * @param proof    what a call must prove of its tenant; null where it is taken at its word
 * @param peers    addresses of other gateways by their number; empty where they don't talk
 */
public record GatewayConfig(
        String name,
        long seed,
        DispatcherSettings settings,
        Clients clients,
        Workers workers,
        Roster roster,
        Map<Integer, String> peers,
        ChainConfig chains,
        Capture capture,
        Grpc grpc,
        AdmissionSettings door,
        Tls tls,
        Proof proof,
        Log log) {
    private static final long MS = 1_000_000L;
    private static final int KB = 1024;
    private static final double ROUNDING = 1e-6;

    /** The same with other settings for chains. */
    public GatewayConfig withChains(java.util.function.UnaryOperator<ChainSettings> changed) {
        ChainConfig c = chains;
        return new GatewayConfig(
                name,
                seed,
                settings,
                clients,
                workers,
                roster,
                peers,
                new ChainConfig(
                        changed.apply(c.settings()),
                        c.giveUpNanos(),
                        c.resumeWindowNanos(),
                        c.resumeKeys(),
                        c.resumeBytes(),
                        c.resumeFile(),
                        c.named()),
                capture,
                grpc,
                door,
                tls,
                proof,
                log);
    }

    /** The same on any free port of loopback, for itself alone. */
    public GatewayConfig onAnyPort() {
        Clients c = clients;
        return new GatewayConfig(
                name,
                seed,
                settings,
                new Clients(
                        "127.0.0.1",
                        0,
                        c.maxConnections,
                        c.idleNanos,
                        c.maxBodyBytes,
                        c.maxHeaderBytes,
                        c.maxOpen,
                        c.handOver,
                        c.stopWithinNanos,
                        false,
                        0),
                workers,
                roster,
                peers,
                chains,
                capture,
                grpc,
                null,
                null,
                null,
                log);
    }

    /** The clients' side; {@code rehearseNs} is the most that is spent on warming up before the port opens. */
    public record Clients(
            String address,
            int port,
            int maxConnections,
            long idleNanos,
            int maxBodyBytes,
            int maxHeaderBytes,
            int maxOpen,
            int handOver,
            long stopWithinNanos,
            boolean reusePort,
            long rehearseNanos) {}

    /**
     * The gateway's certificate (PEM, the chain) and key (PKCS 8), and the authorities that clients' certificates come from.
     *
     * @param clients null where no certificate is asked of clients
     * @param needed  a client without one is turned away
     * @param revoked a list of revoked certificates, or null
     */
    public record Tls(Path certificates, Path key, Path clients, boolean needed, Path revoked) {}

    /**
     * How calls prove whose they are.
     *
     * @param needed   a call that proves none is refused
     * @param tokenKey the key of tokens, or null where none are taken
     */
    public record Proof(boolean needed, Path tokenKey) {}

    /** The clients' side over gRPC. */
    public record Grpc(String address, int port, boolean reflection) {}

    /** The workers' side. */
    public record Workers(
            long dialTimeoutNanos,
            long idleNanos,
            long probeTimeoutNanos,
            int streamsPerConnection,
            int maxConnections,
            int maxAnswerBytes) {}

    /** The source of the list. */
    public record Roster(
            String host,
            int port,
            Path remembered,
            long silentAfterNanos,
            long reconnectLeastNanos,
            long reconnectMostNanos) {}

    /** Where what the decisions are told and decide is captured, and the key that names are hashed with, or null. */
    public record Capture(Path folder, Path hashKey, long segmentBytes, long mostBytes, long mostAgeMillis) {}

    /** Logs. */
    public record Log(boolean json, String level, int remarksPerS) {}

    /**
     * Loads and checks a settings file.
     *
     * @throws InvalidFileException with every fault of the file
     */
    public static GatewayConfig load(Path file) throws InvalidFileException {
        return of(
                XmlFile.load(
                        file, GatewayConfig.class.getResource("settings.xsd"), SettingsXml.class, GatewayConfig::check),
                file);
    }

    /** What no schema says: fields that must fit each other. */
    private static void check(SettingsXml x, XmlFile.Faults faults) {
        x.classes.classes.forEach(c -> checkClass(x, c, faults));
        unique(x.classes.classes, c -> c.name, "class", faults);
        unique(x.workers.kinds, k -> k.name, "kind", faults);
        unique(x.tenants.tenants, t -> t.name, "tenant", faults);
        if (x.door != null) {
            unique(x.door.tenants, t -> t.name, "tenant", faults);
        }
        unique(x.chains.chains, c -> c.name, "chain", faults);
        ChainConfig.check(x, faults);
        unique(x.peers.peers, p -> String.valueOf(p.number), "peer", faults);
        checkSums(x, faults);
        checkPlaces(x, faults);
    }

    private static void checkClass(SettingsXml x, SettingsXml.CallClass c, XmlFile.Faults faults) {
        if (c.aimMillis > c.giveUpMillis) {
            faults.accept(
                    c,
                    "class " + c.name + ": found aim-ms " + c.aimMillis + ", allowed: at most give-up-ms, "
                            + c.giveUpMillis);
        }
        if (x.workers.dialTimeoutMillis >= c.aimMillis) {
            faults.accept(
                    x.workers,
                    "found dial-timeout-ms " + x.workers.dialTimeoutMillis + ", allowed: less than the aim of class "
                            + c.name + ", " + c.aimMillis);
        }
        boolean keyed = c.effect.equals("deduplicated");
        if (keyed && c.windowMillis == 0 || !keyed && c.windowMillis != 0) {
            faults.accept(
                    c,
                    "class " + c.name + ": found effect " + c.effect + " and window-ms " + c.windowMillis
                            + ", allowed: a window with deduplicated, and only there");
        }
        if (c.giveUpMillis <= 4 * x.gateway.tickMillis) {
            faults.accept(
                    c,
                    "class " + c.name + ": found give-up-ms " + c.giveUpMillis + ", allowed: over four times tick-ms, "
                            + x.gateway.tickMillis);
        }
    }

    private static void checkSums(SettingsXml x, XmlFile.Faults faults) {
        double shares = x.tenants.tenants.stream().mapToDouble(t -> t.share).sum();
        if (!x.tenants.tenants.isEmpty() && Math.abs(shares - 1) > 0.001) {
            faults.accept(x.tenants, "found shares that add up to " + shares + ", allowed: 1");
        }
        double goal = x.goal.whole + x.goal.worstWindow + x.goal.worstClass + x.goal.worstTenant;
        if (Math.abs(goal - 1) > ROUNDING) {
            faults.accept(x.goal, "found goal shares that add up to " + goal + ", allowed: 1");
        }
    }

    private static void checkPlaces(SettingsXml x, XmlFile.Faults faults) {
        if (!x.zones.names.contains(x.gateway.zone)) {
            faults.accept(x.gateway, "found zone " + x.gateway.zone + ", allowed: one of " + x.zones.names);
        }
        if (x.gateway.number >= x.gateway.group) {
            faults.accept(x.gateway, "found number " + x.gateway.number + ", allowed: 0 to " + (x.gateway.group - 1));
        }
        if (x.workers.loading.notLoaded.equals("miss") && !x.workers.loading.orders) {
            faults.accept(
                    x.workers.loading,
                    "found not-loaded miss without orders, allowed: miss with orders only, "
                            + "for nothing else would ever load");
        }
        if (x.clients.maxRetryAfterMillis
                > x.classes.classes.stream()
                        .mapToLong(c -> c.giveUpMillis)
                        .max()
                        .orElse(0)) {
            faults.accept(
                    x.clients,
                    "found max-retry-after-ms " + x.clients.maxRetryAfterMillis
                            + ", allowed: at most the longest give-up-ms");
        }
        if (x.roster.reconnectLeastMillis > x.roster.reconnectMostMillis) {
            faults.accept(
                    x.roster,
                    "found reconnect-least-ms " + x.roster.reconnectLeastMillis
                            + ", allowed: at most reconnect-most-ms, " + x.roster.reconnectMostMillis);
        }
        URI url = URI.create(x.roster.url);
        if (url.getPort() < 1 || url.getPort() > 65_535) {
            faults.accept(x.roster, "found url " + x.roster.url + ", allowed: a port from 1 to 65535");
        }
    }

    private static <T> void unique(
            List<T> all, java.util.function.Function<T, String> name, String what, XmlFile.Faults faults) {
        Set<String> seen = new HashSet<>();
        for (T one : all) {
            if (!seen.add(name.apply(one))) {
                faults.accept(one, "found " + what + " " + name.apply(one) + " twice, allowed: once");
            }
        }
    }

    private static GatewayConfig of(SettingsXml x, Path file) {
        SettingsXml.Clients c = x.clients;
        SettingsXml.Workers w = x.workers;
        URI url = URI.create(x.roster.url);
        Path folder = file.toAbsolutePath().getParent();
        Map<Integer, String> peers = new TreeMap<>();
        x.peers.peers.forEach(p -> peers.put(p.number, p.address));
        return new GatewayConfig(
                x.gateway.name,
                x.gateway.seed,
                settings(x),
                new Clients(
                        c.address,
                        c.port,
                        c.maxConnections,
                        c.idleMillis * MS,
                        c.maxBodyKb * KB,
                        c.maxHeaderKb * KB,
                        c.maxOpen,
                        c.handOver,
                        c.stopWithinMillis * MS,
                        x.clients.reusePort,
                        c.rehearseMillis * MS),
                new Workers(
                        w.dialTimeoutMillis * MS,
                        w.idleMillis * MS,
                        w.probeTimeoutMillis * MS,
                        w.streamsPerConnection,
                        w.maxConnections,
                        w.maxAnswerKb * KB),
                new Roster(
                        url.getHost(),
                        url.getPort(),
                        folder.resolve(x.roster.remembered),
                        x.roster.silentAfterMillis * MS,
                        x.roster.reconnectLeastMillis * MS,
                        x.roster.reconnectMostMillis * MS),
                peers,
                ChainConfig.of(x, folder),
                capture(x.capture, folder),
                x.grpc == null ? null : new Grpc(x.grpc.address, x.grpc.port, x.grpc.reflection),
                door(x.door),
                tls(x.tls, folder),
                x.proof == null ? null : new Proof(x.proof.needed, path(folder, x.proof.tokenKeyFile)),
                new Log(x.log.format.equals("json"), x.log.level, x.log.remarksPerS));
    }

    private static Tls tls(SettingsXml.Tls t, Path folder) {
        return t == null
                ? null
                : new Tls(
                        folder.resolve(t.certificates),
                        folder.resolve(t.key),
                        path(folder, t.clients),
                        t.clientsNeeded,
                        path(folder, t.revoked));
    }

    private static Path path(Path folder, String name) {
        return name.isEmpty() ? null : folder.resolve(name);
    }

    private static AdmissionSettings door(SettingsXml.Door door) {
        if (door == null) {
            return null;
        }
        Map<String, TenantQuota> limits = new LinkedHashMap<>();
        door.tenants.forEach(t -> limits.put(t.name, limit(t)));
        limits.put(AdmissionController.OTHERS, limit(door.others));
        return new AdmissionSettings(limits, door.fullAt);
    }

    private static TenantQuota limit(SettingsXml.Limits l) {
        return new TenantQuota(l.weight, l.ratePerS, l.burst, l.mostOpen);
    }

    private static Capture capture(SettingsXml.Capture c, Path folder) {
        return c == null
                ? null
                : new Capture(
                        folder.resolve(c.folder),
                        c.hashKeyFile.isEmpty() ? null : folder.resolve(c.hashKeyFile),
                        (long) c.segmentMb << 20,
                        (long) c.mostMb << 20,
                        c.mostHours * 3_600_000L);
    }

    private static DispatcherSettings settings(SettingsXml x) {
        SettingsXml.Workers w = x.workers;
        SettingsXml.Rules r = x.rules;
        return new DispatcherSettings(
                x.gateway.group,
                x.gateway.number,
                x.gateway.tickMillis * MS,
                x.gateway.zone,
                x.zones.names,
                w.kinds.stream().map(k -> k.name).toList(),
                word(Discovery.class, x.roster.discovery),
                word(WeightReporting.class, w.weights),
                word(PriorityUnit.class, x.classes.worthBy),
                x.tenants.overShareWorth,
                classes(x),
                x.tenants.tenants.stream()
                        .map(t -> new Tenant(t.name, t.share, t.quotaPerS))
                        .toList(),
                family(w),
                new LoadFeedback(word(LoadReporting.class, w.reports), w.reportNames),
                new ObjectiveWeights(x.goal.whole, x.goal.worstWindow, x.goal.worstClass, x.goal.worstTenant),
                limits(x),
                new ProtectionRules(
                        r.askWithinMillis * MS,
                        r.coldFrom,
                        r.warmAfterMillis * MS,
                        r.overloadFactor,
                        r.tipAfterMillis * MS,
                        r.stopSendingWithinMillis * MS,
                        r.graceToAnswerMillis * MS),
                new Prices(
                        x.prices.crossZone,
                        x.prices.waste,
                        x.prices.origin,
                        x.prices.probe,
                        x.prices.peer,
                        x.prices.lateFail),
                new ClientBehavior(x.clients.marksRetry));
    }

    private static List<RequestClass> classes(SettingsXml x) {
        List<RequestClass> classes = new ArrayList<>();
        for (SettingsXml.CallClass c : x.classes.classes) {
            classes.add(new RequestClass(
                    c.name,
                    word(Effect.class, c.effect),
                    word(DeduplicationScope.class, c.group),
                    c.windowMillis * MS,
                    c.aimMillis * MS,
                    c.giveUpMillis * MS,
                    c.worth,
                    c.lateWorth,
                    c.stream,
                    c.aimStretch));
        }
        return classes;
    }

    private static FunctionLoading family(SettingsXml.Workers w) {
        SettingsXml.Loading l = w.loading;
        SettingsXml.Ration ration = l.ration == null ? new SettingsXml.Ration() : l.ration;
        return new FunctionLoading(
                l.keepMillis * MS,
                l.orders,
                word(OnMissBehavior.class, l.notLoaded),
                l.waitMillis * MS,
                ration.periodMillis * MS,
                ration.ratio,
                ration.anyway,
                l.priceOfIdle,
                w.kinds.stream().map(k -> k.memoryMb).toList(),
                "",
                "",
                l.company,
                l.notes);
    }

    private static DispatchLimits limits(SettingsXml x) {
        SettingsXml.Workers w = x.workers;
        return new DispatchLimits(
                w.cancelling,
                !x.peers.peers.isEmpty(),
                w.probes,
                w.secondCopies,
                x.clients.retryAfter,
                w.maxAttempts,
                x.clients.maxOpen,
                x.clients.maxRetryAfterMillis * MS,
                w.dialTimeoutMillis * MS,
                w.idleMillis * MS,
                w.streamsPerConnection,
                0,
                0);
    }

    private static <E extends Enum<E>> E word(Class<E> type, String word) {
        return Enum.valueOf(type, word.replace('-', '_').toUpperCase(Locale.ROOT));
    }
}

package wharfhinge.config;

import static wharfhinge.config.Units.BYTES_PER_KB;
import static wharfhinge.config.Units.BYTES_PER_MB;
import static wharfhinge.config.Units.MILLIS_PER_HOUR;
import static wharfhinge.config.Units.NANOS_PER_MILLI;

import java.net.URI;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wharfhinge.decisions.admission.AdmissionController;
import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.admission.TenantQuota;
import wharfhinge.decisions.chain.ChainSettings;

/** Maps a valid settings file to the gateway's configuration; paths are resolved against the file's folder. */
final class SettingsMapper {
    /** Ticks reserved before a chain's deadline for sending the answer to the client. */
    private static final int RESERVE_TICKS = 2;

    private final SettingsXml settings;
    private final Path folder;

    private SettingsMapper(SettingsXml settings, Path folder) {
        this.settings = settings;
        this.folder = folder;
    }

    static GatewayConfig map(SettingsXml settings, Path file) {
        return new SettingsMapper(settings, file.toAbsolutePath().getParent()).map();
    }

    private GatewayConfig map() {
        return new GatewayConfig(
                settings.gateway.name,
                settings.gateway.seed,
                DispatcherSettingsMapper.map(settings),
                clients(settings.clients),
                workers(settings.workers),
                endpointSource(settings.endpointSource),
                peers(),
                chains(settings.chains),
                settings.capture == null ? null : capture(settings.capture),
                settings.grpc == null ? null : grpc(settings.grpc),
                settings.admission == null ? null : admission(settings.admission),
                settings.tls == null ? null : tls(settings.tls),
                settings.authentication == null ? null : authentication(settings.authentication),
                log(settings.log));
    }

    private static GatewayConfig.Clients clients(ClientSettingsXml.Clients clients) {
        return new GatewayConfig.Clients(
                clients.address,
                clients.port,
                clients.maxConnections,
                clients.idleTimeoutMillis * NANOS_PER_MILLI,
                clients.maxBodyKb * BYTES_PER_KB,
                clients.maxHeaderKb * BYTES_PER_KB,
                clients.maxPendingCalls,
                clients.submissionQueueSize,
                clients.shutdownTimeoutMillis * NANOS_PER_MILLI,
                clients.reusePort,
                clients.warmUpMillis * NANOS_PER_MILLI);
    }

    private static GatewayConfig.Workers workers(WorkerSettingsXml workers) {
        return new GatewayConfig.Workers(
                workers.connectTimeoutMillis * NANOS_PER_MILLI,
                workers.idleTimeoutMillis * NANOS_PER_MILLI,
                workers.probeTimeoutMillis * NANOS_PER_MILLI,
                workers.streamsPerConnection,
                workers.maxConnections,
                workers.maxResponseKb * BYTES_PER_KB);
    }

    private GatewayConfig.EndpointSourceConfig endpointSource(SettingsXml.EndpointSource source) {
        URI url = URI.create(source.url);
        return new GatewayConfig.EndpointSourceConfig(
                url.getHost(),
                url.getPort(),
                folder.resolve(source.snapshotFile),
                source.silenceTimeoutMillis * NANOS_PER_MILLI,
                source.minReconnectMillis * NANOS_PER_MILLI,
                source.maxReconnectMillis * NANOS_PER_MILLI);
    }

    private Map<Integer, String> peers() {
        Map<Integer, String> addresses = new TreeMap<>();
        settings.peers.peers.forEach(peer -> addresses.put(peer.number, peer.address));
        return addresses;
    }

    private ChainConfig chains(ChainSettingsXml chains) {
        Map<String, ChainConfig.Named> named = new LinkedHashMap<>();
        chains.chains.forEach(chain -> named.put(chain.name, namedChain(chain)));
        ChainSettings chainSettings = new ChainSettings(
                ChainSettings.Clock.SHARED_DEADLINE,
                chains.earlyRejection,
                chains.rejectionsPerSample,
                chains.prefetch,
                chains.maxPendingChains,
                chains.maxSteps,
                chains.tenantShare,
                chains.maxHeldMb * BYTES_PER_MB,
                RESERVE_TICKS * settings.gateway.tickMillis * NANOS_PER_MILLI);
        return new ChainConfig(
                chainSettings,
                chains.maxDeadlineMillis * NANOS_PER_MILLI,
                chains.resumeWindowMillis * NANOS_PER_MILLI,
                chains.resumeKeys,
                chains.resumeMb * BYTES_PER_MB,
                optionalPath(chains.resumeFile),
                named);
    }

    private static ChainConfig.Named namedChain(ChainSettingsXml.Chain chain) {
        return new ChainConfig.Named(
                chain.latencyObjectiveMillis * NANOS_PER_MILLI,
                chain.steps.stream().map(SettingsMapper::namedStep).toList());
    }

    private static ChainConfig.NamedStep namedStep(ChainSettingsXml.ChainStep step) {
        return new ChainConfig.NamedStep(
                step.id,
                step.function,
                step.requestClass,
                List.copyOf(step.input),
                step.memoryMb,
                step.concurrencyPerCopy,
                step.loadMillis,
                (long) step.costMicros);
    }

    private GatewayConfig.Capture capture(SettingsXml.Capture capture) {
        return new GatewayConfig.Capture(
                folder.resolve(capture.folder),
                optionalPath(capture.hashKeyFile),
                capture.segmentMb * BYTES_PER_MB,
                capture.maxMb * BYTES_PER_MB,
                capture.maxHours * MILLIS_PER_HOUR);
    }

    private static GatewayConfig.Grpc grpc(ClientSettingsXml.Grpc grpc) {
        return new GatewayConfig.Grpc(grpc.address, grpc.port, grpc.reflection);
    }

    private static AdmissionSettings admission(AdmissionSettingsXml admission) {
        Map<String, TenantQuota> quotas = new LinkedHashMap<>();
        admission.tenants.forEach(tenant -> quotas.put(tenant.name, quota(tenant)));
        quotas.put(AdmissionController.DEFAULT_TENANT, quota(admission.others));
        return new AdmissionSettings(quotas, admission.fullAtObjectiveShare);
    }

    private static TenantQuota quota(AdmissionSettingsXml.Quota quota) {
        return new TenantQuota(quota.weight, quota.requestsPerSecond, quota.burst, quota.maxPending);
    }

    private GatewayConfig.Tls tls(ClientSettingsXml.Tls tls) {
        return new GatewayConfig.Tls(
                folder.resolve(tls.certificateChain),
                folder.resolve(tls.privateKey),
                optionalPath(tls.clientAuthorities),
                tls.clientCertificateRequired,
                optionalPath(tls.revocationList));
    }

    private GatewayConfig.Authentication authentication(ClientSettingsXml.Authentication authentication) {
        return new GatewayConfig.Authentication(authentication.required, optionalPath(authentication.tokenKeyFile));
    }

    private static GatewayConfig.Log log(SettingsXml.Log log) {
        return new GatewayConfig.Log(log.format.equals("json"), log.level, log.diagnosticsPerSecond);
    }

    /** The path of an optional file, or null if the setting is empty. */
    private Path optionalPath(String name) {
        return name.isEmpty() ? null : folder.resolve(name);
    }
}

package wharfhinge.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.function.UnaryOperator;
import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.DispatcherSettings;

/**
 * The validated configuration of one gateway. Times are in nanoseconds, sizes in bytes; an optional part that is absent is null.
 *
 * @param name               name of this gateway
 * @param seed               seed of the policy's random choices
 * @param dispatcherSettings settings of the policy
 * @param clients            the HTTP listener
 * @param workers            connections to workers
 * @param endpointSource     the source of the endpoint list
 * @param peers              addresses of other gateways by their number; empty if gateways exchange no messages
 * @param chains             settings of chains
 * @param capture            null if nothing is captured
 * @param grpc               null if gRPC is not served
 * @param admission          admission quotas by tenant, with an entry for other tenants; null if every call is admitted
 * @param tls                null if the listeners use plain text
 * @param authentication     how calls authenticate their tenant; null if the tenant that a call names is trusted
 * @param log                log output
 */
public record GatewayConfig(
        String name,
        long seed,
        DispatcherSettings dispatcherSettings,
        Clients clients,
        Workers workers,
        EndpointSourceConfig endpointSource,
        Map<Integer, String> peers,
        ChainConfig chains,
        Capture capture,
        Grpc grpc,
        AdmissionSettings admission,
        Tls tls,
        Authentication authentication,
        Log log) {
    /** A copy with other settings of chains. */
    public GatewayConfig withChains(UnaryOperator<ChainSettings> changed) {
        return new GatewayConfig(
                name,
                seed,
                dispatcherSettings,
                clients,
                workers,
                endpointSource,
                peers,
                chains.withSettings(changed.apply(chains.settings())),
                capture,
                grpc,
                admission,
                tls,
                authentication,
                log);
    }

    /** A copy for warm-up: on any free loopback port, without admission control, TLS, authentication and a warm-up of its own. */
    public GatewayConfig onAnyPort() {
        return new GatewayConfig(
                name,
                seed,
                dispatcherSettings,
                clients.onAnyPort(),
                workers,
                endpointSource,
                peers,
                chains,
                capture,
                grpc,
                null,
                null,
                null,
                log);
    }

    /**
     * The HTTP listener.
     *
     * @param address              address that the listener binds
     * @param port                 0 for any free port
     * @param maxConnections       maximum number of connections from clients
     * @param idleNanos            idle time after which a connection is closed
     * @param maxBodyBytes         largest body of a request
     * @param maxHeaderBytes       largest header of a request
     * @param maxPendingCalls      maximum number of pending calls
     * @param submissionQueueSize  capacity of the queue from the I/O threads to the event loop
     * @param shutdownTimeoutNanos time that a graceful shutdown may take
     * @param reusePort            whether another process may listen on the same port
     * @param warmUpNanos          maximum duration of the warm-up before the port opens
     */
    public record Clients(
            String address,
            int port,
            int maxConnections,
            long idleNanos,
            int maxBodyBytes,
            int maxHeaderBytes,
            int maxPendingCalls,
            int submissionQueueSize,
            long shutdownTimeoutNanos,
            boolean reusePort,
            long warmUpNanos) {

        private Clients onAnyPort() {
            return new Clients(
                    "127.0.0.1",
                    0,
                    maxConnections,
                    idleNanos,
                    maxBodyBytes,
                    maxHeaderBytes,
                    maxPendingCalls,
                    submissionQueueSize,
                    shutdownTimeoutNanos,
                    false,
                    0);
        }
    }

    /**
     * TLS of both listeners.
     *
     * @param certificateChain          the gateway's certificate chain, PEM
     * @param privateKey                the gateway's private key, PKCS 8
     * @param clientAuthorities         the certificate authorities of clients; null if no client certificate is requested
     * @param clientCertificateRequired whether a client without a certificate is rejected
     * @param revocationList            list of revoked certificates, or null
     */
    public record Tls(
            Path certificateChain,
            Path privateKey,
            Path clientAuthorities,
            boolean clientCertificateRequired,
            Path revocationList) {}

    /**
     * How calls authenticate their tenant.
     *
     * @param required whether a call without a client certificate or token is rejected
     * @param tokenKey the key that tokens are verified with, or null if no tokens are accepted
     */
    public record Authentication(boolean required, Path tokenKey) {}

    /** The gRPC listener. */
    public record Grpc(String address, int port, boolean reflection) {}

    /** Connections to workers; connection counts and sizes are limits per worker. */
    public record Workers(
            long connectTimeoutNanos,
            long idleNanos,
            long probeTimeoutNanos,
            int streamsPerConnection,
            int maxConnections,
            int maxResponseBytes) {}

    /** The source of the endpoint list, the endpoint snapshot file, and the range of the reconnect backoff. */
    public record EndpointSourceConfig(
            String host,
            int port,
            Path snapshotFile,
            long silenceTimeoutNanos,
            long minReconnectNanos,
            long maxReconnectNanos) {}

    /**
     * The capture of events and decisions.
     *
     * @param folder       folder of the segments
     * @param hashKey      key that names are hashed with, or null if they are stored unhashed
     * @param segmentBytes size of a segment
     * @param maxBytes     maximum total size of all segments; the oldest are deleted first
     * @param maxAgeMillis maximum age of a segment
     */
    public record Capture(Path folder, Path hashKey, long segmentBytes, long maxBytes, long maxAgeMillis) {}

    /**
     * Log output.
     *
     * @param json                 JSON lines instead of plain text
     * @param level                lowest level that is written
     * @param diagnosticsPerSecond maximum number of the policy's diagnostic lines per second
     */
    public record Log(boolean json, String level, int diagnosticsPerSecond) {}

    /**
     * Loads and validates a settings file.
     *
     * @throws InvalidConfigurationException with every fault of the file
     */
    public static GatewayConfig load(Path file) throws InvalidConfigurationException {
        SettingsXml settings = XmlFile.load(
                file, GatewayConfig.class.getResource("settings.xsd"), SettingsXml.class, SettingsValidator::validate);
        return SettingsMapper.map(settings, file);
    }
}

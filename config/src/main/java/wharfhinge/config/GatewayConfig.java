package wharfhinge.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.function.UnaryOperator;
import wharfhinge.decisions.admission.AdmissionSettings;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.DispatcherSettings;

/**
 * The configuration of one gateway, valid. Times are nanoseconds, sizes bytes; an optional part that is absent is null.
 *
 * @param name     name of this gateway
 * @param seed     seed of the policy's random choices
 * @param dispatcherSettings settings of the policy
 * @param clients  the HTTP listener
 * @param workers  connections to workers
 * @param endpointSource   the source of the endpoint list
 * @param peers    addresses of other gateways by their number; empty where they exchange nothing
 * @param chains   settings of chains
 * @param capture  null where nothing is captured
 * @param grpc     null where gRPC is not served
 * @param admission     admission quotas by tenant, with an entry for others; null where all are admitted
 * @param tls      null where calls come in plain text
 * @param proof    what a call must prove of its tenant; null where its word is taken
 * @param log      log output
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
        Proof proof,
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
                proof,
                log);
    }

    /** A copy for tests: on any free port of loopback, without admission control, TLS, proof of tenants and warm-up. */
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
     * @param address         address that it binds
     * @param port            0 for any free one
     * @param maxConnections  connections from clients at most
     * @param idleNanos       idle time after which a connection is closed
     * @param maxBodyBytes    largest body of a request
     * @param maxHeaderBytes  largest header of a request
     * @param maxOpen         requests pending at most
     * @param submissionQueueSize        capacity of the queue from the I/O threads to the event loop
     * @param shutdownTimeoutNanos time that a graceful shutdown may take
     * @param reusePort       whether another process may listen on the same port
     * @param warmUpNanos   time at most for warming up the process before the port opens
     */
    public record Clients(
            String address,
            int port,
            int maxConnections,
            long idleNanos,
            int maxBodyBytes,
            int maxHeaderBytes,
            int maxOpen,
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
                    maxOpen,
                    submissionQueueSize,
                    shutdownTimeoutNanos,
                    false,
                    0);
        }
    }

    /**
     * TLS of both listeners.
     *
     * @param certificateChain the gateway's certificate chain, PEM
     * @param privateKey          its private key, PKCS 8
     * @param clientAuthorities      the authorities of clients' certificates; null where none is requested
     * @param clientCertificateRequired       whether a client without a certificate is rejected
     * @param revocationList      list of revoked certificates, or null
     */
    public record Tls(
            Path certificateChain,
            Path privateKey,
            Path clientAuthorities,
            boolean clientCertificateRequired,
            Path revocationList) {}

    /**
     * How calls prove their tenant.
     *
     * @param required   whether a call without proof is rejected
     * @param tokenKey the key of tokens, or null where none are accepted
     */
    public record Proof(boolean required, Path tokenKey) {}

    /** The gRPC listener. */
    public record Grpc(String address, int port, boolean reflection) {}

    /** Connections to workers; sizes and connections are bounds for each worker. */
    public record Workers(
            long connectTimeoutNanos,
            long idleNanos,
            long probeTimeoutNanos,
            int streamsPerConnection,
            int maxConnections,
            int maxResponseBytes) {}

    /** The source of the endpoint list, the file that keeps its last state, and the range of the reconnect backoff. */
    public record EndpointSourceConfig(
            String host,
            int port,
            Path snapshotFile,
            long silenceTimeoutNanos,
            long minReconnectNanos,
            long maxReconnectNanos) {}

    /**
     * The record of events and decisions.
     *
     * @param folder        folder of the segments
     * @param hashKey       key that names are hashed with, or null where they are stored as they are
     * @param segmentBytes  size of a segment
     * @param maxBytes     size of all segments at most; the oldest go first
     * @param maxAgeMillis age of a segment at most
     */
    public record Capture(Path folder, Path hashKey, long segmentBytes, long maxBytes, long maxAgeMillis) {}

    /**
     * Log output.
     *
     * @param json       JSON lines in place of plain text
     * @param level      lowest level that is written
     * @param diagnosticsPerSecond diagnostic lines of the policy a second at most
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

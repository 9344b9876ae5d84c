package wharfhinge.config;

import jakarta.xml.bind.annotation.XmlAttribute;

/**
 * Binds the elements of the settings file that configure the client listeners, TLS and authentication.
 * Each field has the meaning of the attribute that its annotation names; settings.xsd has the units, defaults and ranges.
 */
final class ClientSettingsXml {
    private ClientSettingsXml() {}

    /** Element {@code clients}: the HTTP listener. */
    static final class Clients {
        @XmlAttribute(name = "address")
        String address = "127.0.0.1";

        @XmlAttribute(name = "port")
        int port;

        @XmlAttribute(name = "reuse-port")
        boolean reusePort;

        @XmlAttribute(name = "max-connections")
        int maxConnections = 10000;

        @XmlAttribute(name = "idle-ms")
        long idleTimeoutMillis = 60000;

        @XmlAttribute(name = "max-body-kb")
        int maxBodyKb = 1024;

        @XmlAttribute(name = "max-header-kb")
        int maxHeaderKb = 16;

        @XmlAttribute(name = "max-open")
        int maxPendingCalls = 20000;

        @XmlAttribute(name = "hand-over")
        int submissionQueueSize = 4096;

        @XmlAttribute(name = "stop-within-ms")
        long shutdownTimeoutMillis = 5000;

        @XmlAttribute(name = "rehearse-ms")
        long warmUpMillis = 3000;

        @XmlAttribute(name = "retry-after")
        boolean acceptsRetryAfter = true;

        @XmlAttribute(name = "max-retry-after-ms")
        long maxRetryAfterMillis = 2000;

        @XmlAttribute(name = "marks-retry")
        boolean marksRetries = true;
    }

    /** Element {@code grpc}: the gRPC listener. */
    static final class Grpc {
        @XmlAttribute(name = "address")
        String address = "127.0.0.1";

        @XmlAttribute(name = "port")
        int port;

        @XmlAttribute(name = "reflection")
        boolean reflection;
    }

    /** Element {@code tls}: the gateway's certificate and the verification of client certificates. */
    static final class Tls {
        @XmlAttribute(name = "certificates")
        String certificateChain;

        @XmlAttribute(name = "key")
        String privateKey;

        @XmlAttribute(name = "clients")
        String clientAuthorities = "";

        @XmlAttribute(name = "clients-needed")
        boolean clientCertificateRequired;

        @XmlAttribute(name = "revoked")
        String revocationList = "";
    }

    /** Element {@code proof}: how calls authenticate their tenant. */
    static final class Authentication {
        @XmlAttribute(name = "needed")
        boolean required = true;

        @XmlAttribute(name = "token-key-file")
        String tokenKeyFile = "";
    }
}

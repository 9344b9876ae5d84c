package wharfhinge.gateway.tls;

import io.grpc.util.AdvancedTlsX509KeyManager;
import io.grpc.util.AdvancedTlsX509TrustManager;
import io.grpc.util.CertificateUtils;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wharfhinge.config.GatewayConfig;

/**
 * The TLS configuration of the HTTP and gRPC listeners: the gateway's certificate and the authorities it trusts.
 *
 * <p>A dedicated thread checks the files every second and reloads those that changed. New connections use the new certificate;
 * established connections are not affected. If a changed file is unusable, the previous version stays in effect and a warning
 * is logged.
 */
public final class TlsContext implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TlsContext.class);
    private static final long RELOAD_INTERVAL_SECONDS = 1;
    private static final ApplicationProtocolConfig ALPN = new ApplicationProtocolConfig(
            Protocol.ALPN,
            SelectorFailureBehavior.NO_ADVERTISE,
            SelectedListenerFailureBehavior.ACCEPT,
            ApplicationProtocolNames.HTTP_2,
            ApplicationProtocolNames.HTTP_1_1);
    private static final byte[] KEY_CHECK_BYTES = {1, 2, 3, 4};

    private final SslContext context;
    private final ScheduledExecutorService reloader = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "certificate-reload");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Loads the configured files.
     *
     * @throws InvalidCredentialsException if one of them is unusable
     */
    public TlsContext(GatewayConfig.Tls settings) throws InvalidCredentialsException {
        try {
            AdvancedTlsX509KeyManager keys = new AdvancedTlsX509KeyManager();
            loadAndWatch(
                    () -> loadIdentity(keys, settings.certificateChain(), settings.privateKey()),
                    settings.certificateChain(),
                    settings.privateKey());
            SslContextBuilder builder = SslContextBuilder.forServer(keys)
                    .sslProvider(SslProvider.JDK)
                    .applicationProtocolConfig(ALPN);
            if (settings.clientAuthorities() != null) {
                AdvancedTlsX509TrustManager trust = AdvancedTlsX509TrustManager.newBuilder()
                        .setVerification(AdvancedTlsX509TrustManager.Verification.CERTIFICATE_ONLY_VERIFICATION)
                        .setSslSocketAndEnginePeerVerifier(
                                new RevocationList(settings.revocationList(), settings.clientAuthorities()))
                        .build();
                loadAndWatch(
                        () -> trust.updateTrustCredentials(
                                settings.clientAuthorities().toFile()),
                        settings.clientAuthorities());
                builder.trustManager(trust)
                        .clientAuth(settings.clientCertificateRequired() ? ClientAuth.REQUIRE : ClientAuth.OPTIONAL);
            }
            context = builder.build();
        } catch (GeneralSecurityException | IOException | RuntimeException e) {
            reloader.shutdownNow();
            throw new InvalidCredentialsException(
                    "tls: " + settings.certificateChain() + ", " + settings.privateKey()
                            + (settings.clientAuthorities() == null ? "" : ", " + settings.clientAuthorities()) + ": "
                            + e.getMessage(),
                    e);
        }
    }

    private interface Load {
        void run() throws GeneralSecurityException, IOException;
    }

    /**
     * Loads now, and again whenever one of the files changes. A failed reload is retried, since a certificate and its key are
     * replaced one after the other.
     */
    private void loadAndWatch(Load load, Path... files) throws GeneralSecurityException, IOException {
        List<FileTime> loaded = new ArrayList<>(modificationTimes(files));
        load.run();
        reloader.scheduleWithFixedDelay(
                () -> {
                    try {
                        List<FileTime> now = modificationTimes(files);
                        if (!now.equals(loaded)) {
                            load.run();
                            loaded.clear();
                            loaded.addAll(now);
                            LOG.info("{}: reloaded", List.of(files));
                        }
                    } catch (GeneralSecurityException | IOException | RuntimeException e) {
                        LOG.warn("{}: reload failed, keeping previous version: {}", List.of(files), e.getMessage());
                    }
                },
                RELOAD_INTERVAL_SECONDS,
                RELOAD_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
    }

    /** Loads a certificate chain and its key. A pair that does not match is rejected, since every handshake would fail. */
    private static void loadIdentity(AdvancedTlsX509KeyManager keys, Path certificates, Path key)
            throws GeneralSecurityException, IOException {
        X509Certificate[] chain;
        PrivateKey privateKey;
        try (InputStream certificateIn = Files.newInputStream(certificates);
                InputStream keyIn = Files.newInputStream(key)) {
            chain = CertificateUtils.getX509Certificates(certificateIn);
            privateKey = CertificateUtils.getPrivateKey(keyIn);
        }
        Signature signing =
                Signature.getInstance(privateKey.getAlgorithm().equals("EC") ? "SHA256withECDSA" : "SHA256withRSA");
        signing.initSign(privateKey);
        signing.update(KEY_CHECK_BYTES);
        byte[] signed = signing.sign();
        signing.initVerify(chain[0].getPublicKey());
        signing.update(KEY_CHECK_BYTES);
        if (!signing.verify(signed)) {
            throw new GeneralSecurityException("the key is not that of the certificate");
        }
        keys.updateIdentityCredentials(chain, privateKey);
    }

    private static List<FileTime> modificationTimes(Path... files) throws IOException {
        List<FileTime> times = new ArrayList<>();
        for (Path file : files) {
            times.add(Files.getLastModifiedTime(file));
        }
        return times;
    }

    /** The context for the HTTP and gRPC listeners. */
    public SslContext context() {
        return context;
    }

    /** The common name (CN) of the client's certificate, which is its tenant, or null if the client presented none. */
    public static String tenantOf(SSLSession session) {
        try {
            Certificate[] peerCertificates = session.getPeerCertificates();
            String name = ((X509Certificate) peerCertificates[0])
                    .getSubjectX500Principal()
                    .getName();
            for (Rdn part : new LdapName(name).getRdns()) {
                if (part.getType().equalsIgnoreCase("CN")) {
                    return part.getValue().toString();
                }
            }
            return null;
        } catch (SSLPeerUnverifiedException | InvalidNameException e) {
            return null;
        }
    }

    @Override
    public void close() {
        reloader.shutdownNow();
    }
}

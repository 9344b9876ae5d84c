package wharfhinge.gateway.tls;

import io.grpc.util.AdvancedTlsX509TrustManager.SslSocketAndEnginePeerVerifier;
import io.grpc.util.CertificateUtils;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.cert.CRLException;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509CRL;
import java.security.cert.X509CRLEntry;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rejects clients whose certificate is in a file of certificate revocation lists (CRLs), which is reloaded when it changes.
 *
 * <p>Each list must be signed by one of the authorities that sign client certificates, else anyone who can write the file could
 * lock clients out. If a changed file is unusable, the previous lists stay in effect, a warning is logged, and the file is read again later.
 * Thread-safe.
 */
final class RevocationList implements SslSocketAndEnginePeerVerifier {
    private static final Logger LOG = LoggerFactory.getLogger(RevocationList.class);
    /** A load that failed is repeated after this time, also if the file keeps its time: it may have been read while it was written. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Path file; // null if no list is configured
    private final Path authorities;
    private FileTime loadedModificationTime; // guarded by this, as are the next two
    private long retryAtNanos = System.nanoTime();
    private List<X509CRL> lists = List.of();

    /**
     * Loads the file.
     *
     * @param file        the revocation lists, or null if none is configured
     * @param authorities the certificates of the authorities that may sign the lists
     * @throws IOException if the file is unusable; faults in later reloads are only logged
     */
    RevocationList(Path file, Path authorities) throws IOException, GeneralSecurityException {
        this.file = file;
        this.authorities = authorities;
        if (file != null) {
            loadedModificationTime = Files.getLastModifiedTime(file);
            lists = load();
        }
    }

    @Override
    public void verifyPeerCertificate(X509Certificate[] chain, String authType, Socket socket)
            throws CertificateException {
        check(chain);
    }

    @Override
    public void verifyPeerCertificate(X509Certificate[] chain, String authType, SSLEngine engine)
            throws CertificateException {
        check(chain);
    }

    private synchronized void check(X509Certificate[] chain) throws CertificateException {
        if (file == null) {
            return;
        }
        reloadIfChanged();
        for (X509CRL list : lists) {
            X509CRLEntry entry = list.getRevokedCertificate(chain[0]);
            if (entry != null) {
                throw new CertificateException("certificate " + chain[0].getSubjectX500Principal() + " was revoked on "
                        + entry.getRevocationDate().toInstant());
            }
        }
    }

    private void reloadIfChanged() {
        try {
            FileTime changed = Files.getLastModifiedTime(file);
            if (changed.equals(loadedModificationTime) || System.nanoTime() - retryAtNanos < 0) {
                return;
            }
            lists = load();
            loadedModificationTime = changed;
        } catch (IOException | GeneralSecurityException e) {
            retryAtNanos = System.nanoTime() + RETRY_NANOS;
            LOG.warn("{}: reload of the revocation list failed, keeping previous version: {}", file, e.getMessage());
        }
    }

    private List<X509CRL> load() throws IOException, GeneralSecurityException {
        X509Certificate[] trusted;
        List<X509CRL> loaded = new ArrayList<>();
        try (InputStream in = Files.newInputStream(file);
                InputStream authoritiesIn = Files.newInputStream(authorities)) {
            trusted = CertificateUtils.getX509Certificates(authoritiesIn);
            CertificateFactory.getInstance("X.509").generateCRLs(in).forEach(list -> loaded.add((X509CRL) list));
        }
        if (loaded.isEmpty()) {
            throw new CRLException(file + ": found no list, allowed: one or more, PEM or DER");
        }
        for (X509CRL list : loaded) {
            if (Arrays.stream(trusted).noneMatch(authority -> isSignedBy(list, authority))) {
                throw new CRLException(file + ": found a list signed by none of " + authorities
                        + ", which names as its issuer " + list.getIssuerX500Principal());
            }
            LOG.info(
                    "revocation list of {} loaded, issued by {}",
                    list.getThisUpdate().toInstant(),
                    list.getIssuerX500Principal());
        }
        return loaded;
    }

    private static boolean isSignedBy(X509CRL list, X509Certificate authority) {
        try {
            list.verify(authority.getPublicKey());
            return authority.getSubjectX500Principal().equals(list.getIssuerX500Principal());
        } catch (GeneralSecurityException e) {
            return false; // signed by another authority
        }
    }
}

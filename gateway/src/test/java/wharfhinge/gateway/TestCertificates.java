package wharfhinge.gateway;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.util.Date;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.CRLReason;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.X509v2CRLBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CRLConverter;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.ContentSigner;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** A certificate authority that is generated for one test. */
final class TestCertificates {
    static final long DAY_MILLIS = 86_400_000L;

    /** A certificate and the PEM files of its chain and its private key. */
    record KeyAndCertificate(X509Certificate certificate, Path chain, Path key) {}

    final Path authority;
    private final KeyPair keys;
    private final X500Name name;
    private final Path folder;
    private int serial = 1;

    TestCertificates(Path folder, String name) throws Exception {
        this.folder = Files.createDirectories(folder);
        this.keys = generateKeys();
        this.name = new X500Name("CN=" + name);
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                this.name, BigInteger.ZERO, date(-DAY_MILLIS), date(DAY_MILLIS), this.name, keys.getPublic());
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(true));
        authority = write("authority.pem", new JcaX509CertificateConverter().getCertificate(builder.build(signer())));
    }

    private static KeyPair generateKeys() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    private ContentSigner signer() throws Exception {
        return new JcaContentSignerBuilder("SHA256withECDSA").build(keys.getPrivate());
    }

    private static Date date(long fromNowMillis) {
        return new Date(System.currentTimeMillis() + fromNowMillis);
    }

    /** Issues a certificate for a server at an address or, if the address is null, for a client. */
    KeyAndCertificate issue(String file, String commonName, String address, long fromMillis, long untilMillis)
            throws Exception {
        KeyPair leafKeys = generateKeys();
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(
                name,
                BigInteger.valueOf(++serial),
                date(fromMillis),
                date(untilMillis),
                new X500Name("CN=" + commonName),
                leafKeys.getPublic());
        if (address != null) {
            builder.addExtension(
                    Extension.subjectAlternativeName,
                    false,
                    new GeneralNames(new GeneralName(GeneralName.iPAddress, address)));
        }
        X509Certificate certificate = new JcaX509CertificateConverter().getCertificate(builder.build(signer()));
        return new KeyAndCertificate(
                certificate,
                write(file + ".pem", certificate),
                write(file + ".key", new JcaPKCS8Generator(leafKeys.getPrivate(), null)));
    }

    KeyAndCertificate issueClient(String tenant) throws Exception {
        return issue("client-" + tenant, tenant, null, -DAY_MILLIS, DAY_MILLIS);
    }

    /** Writes a certificate revocation list that names these certificates. */
    Path revocationList(X509Certificate... certificates) throws Exception {
        X509v2CRLBuilder builder = new X509v2CRLBuilder(name, new Date());
        for (X509Certificate certificate : certificates) {
            builder.addCRLEntry(certificate.getSerialNumber(), new Date(), CRLReason.keyCompromise);
        }
        return write("revoked.pem", new JcaX509CRLConverter().getCRL(builder.build(signer())));
    }

    private Path write(String file, Object content) throws IOException {
        StringWriter text = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(text)) {
            pem.writeObject(content);
        }
        Path temporary = folder.resolve(file + ".new");
        Files.writeString(temporary, text.toString());
        return Files.move(
                temporary, folder.resolve(file), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    static byte[] secret() {
        byte[] key = new byte[32];
        new SecureRandom().nextBytes(key);
        return key;
    }
}

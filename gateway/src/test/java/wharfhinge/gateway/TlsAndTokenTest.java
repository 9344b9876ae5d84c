package wharfhinge.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.protocol.AnswerCode.SERVED;
import static wharfhinge.protocol.CopyNote.FOUND;

import io.grpc.netty.GrpcSslContexts;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wharfhinge.client.Call;
import wharfhinge.client.Result;
import wharfhinge.client.Transport;
import wharfhinge.client.WharfhingeClient;
import wharfhinge.client.core.ClientPolicy;
import wharfhinge.client.grpc.GrpcTransport;
import wharfhinge.client.http.HttpTransport;
import wharfhinge.engine.DispatcherFactory;
import wharfhinge.gateway.tls.BearerTokens;

/** Certificates and tokens, valid and invalid, over both protocols. */
@Timeout(60)
class TlsAndTokenTest {
    private static final long MS = 1_000_000L;
    private static final ClientPolicy ONE_TRY =
            new ClientPolicy(100, 0, 0, 5 * MS, 50 * MS, 5000 * MS, 3, 500 * MS, 150 * MS);

    @TempDir
    private Path folder;

    private enum Way {
        HTTP,
        GRPC
    }

    private static WharfhingeClient client(
            Way way, GatewayFixture rig, Path authority, TestCertificates.Pair own, Supplier<String> token)
            throws Exception {
        SslContextBuilder builder =
                SslContextBuilder.forClient().trustManager(authority.toFile()).sslProvider(SslProvider.JDK);
        if (own != null) {
            builder.keyManager(own.chain().toFile(), own.key().toFile());
        }
        Transport transport;
        if (way == Way.HTTP) {
            SslContext tls = builder.applicationProtocolConfig(new ApplicationProtocolConfig(
                            ApplicationProtocolConfig.Protocol.ALPN,
                            ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                            ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                            "h2"))
                    .build();
            transport = new HttpTransport(Duration.ofSeconds(2), 4, 1 << 20, tls, token);
        } else {
            transport = new GrpcTransport(
                    Duration.ofSeconds(2),
                    1 << 20,
                    GrpcSslContexts.configure(builder, SslProvider.JDK).build(),
                    token);
        }
        int port = (way == Way.HTTP ? rig.gateway.address() : rig.gateway.grpcAddress()).getPort();
        return new WharfhingeClient(transport, ONE_TRY, List.of("127.0.0.1:" + port));
    }

    private static Result call(WharfhingeClient client, String claims) throws Exception {
        return client.call(Call.once("f", "once", Duration.ofSeconds(3))
                        .tenant(claims)
                        .build())
                .get(10, TimeUnit.SECONDS);
    }

    private static FakePeer worker() {
        return new FakePeer(in -> in.respond(SERVED, FOUND, "well"));
    }

    private static String tls(TestCertificates.Pair server, Path clients, Path revoked, String more) {
        return "<tls certificates='" + server.chain() + "' key='" + server.key() + "'"
                + (clients == null ? "" : " clients='" + clients + "'")
                + (revoked == null ? "" : " revoked='" + revoked + "'") + "/>" + more;
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void tenant_isThatOfCertificateOnly(Way way) throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        TestCertificates.Pair server =
                keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
        TestCertificates.Pair revoked = keys.client("gone");
        TestCertificates others = new TestCertificates(folder.resolve("others"), "theirs");
        try (FakePeer worker = worker();
                GatewayFixture rig = new GatewayFixture(
                        folder,
                        "",
                        "",
                        tls(server, keys.authority, keys.revoked(revoked.certificate()), "<proof/>"),
                        DispatcherFactory.CACHE_AWARE)) {
            rig.announce(worker.id());
            try (WharfhingeClient client = client(way, rig, keys.authority, keys.client("t1"), null)) {
                assertTrue(call(client, null) instanceof Result.Served);
                assertEquals("t1", worker.next().headers.get("wh-tenant").toString());
                assertTrue(call(client, "t1") instanceof Result.Served);
                assertEquals("wh-tenant: found 't2', allowed: 't1'", ((Result.Invalid) call(client, "t2")).reason());
            }
            try (WharfhingeClient client = client(way, rig, keys.authority, null, null)) {
                assertEquals(
                        "tenant: found no proof, allowed: a client certificate or a token",
                        ((Result.Invalid) call(client, "t1")).reason());
            }
            for (TestCertificates.Pair bad : List.of(
                    revoked,
                    keys.issue("old", "t1", null, -2 * TestCertificates.DAY, -TestCertificates.DAY),
                    keys.issue("early", "t1", null, TestCertificates.DAY, 2 * TestCertificates.DAY))) {
                try (WharfhingeClient client = client(way, rig, keys.authority, bad, null)) {
                    Result r = call(client, null);
                    assertTrue(r instanceof Result.Refused, bad.certificate().getSubjectX500Principal() + ": " + r);
                }
            }
            try (WharfhingeClient client =
                    client(way, rig, keys.authority, others.client("t1"), null)) { // which Java does not even show
                assertTrue(((Result.Invalid) call(client, null)).reason().contains("no proof"));
            }
            assertEquals(2, rig.metric("taken"), "nothing of the others was taken");
        }
    }

    @Test
    void revocationListOfAnotherAuthority_isIgnored() throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        TestCertificates forger = new TestCertificates(folder.resolve("forger"), "ours"); // the same name, another key
        TestCertificates.Pair server =
                keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
        TestCertificates.Pair t1 = keys.client("t1");
        TestCertificates.Pair gone = keys.client("gone");
        Path forged = forger.revoked(t1.certificate());
        Exception refused = assertThrows(java.io.UncheckedIOException.class, () -> new GatewayFixture(
                        folder, "", "", tls(server, keys.authority, forged, "<proof/>"), DispatcherFactory.CACHE_AWARE)
                .close());
        assertTrue(refused.getMessage().contains("signed by none of"), refused.getMessage());
        Path list = keys.revoked(gone.certificate());
        try (FakePeer worker = worker();
                GatewayFixture rig = new GatewayFixture(
                        folder, "", "", tls(server, keys.authority, list, "<proof/>"), DispatcherFactory.CACHE_AWARE)) {
            rig.announce(worker.id());
            Files.copy(forged, list, StandardCopyOption.REPLACE_EXISTING);
            Files.setLastModifiedTime(
                    list, java.nio.file.attribute.FileTime.fromMillis(System.currentTimeMillis() + 5000));
            try (WharfhingeClient client = client(Way.HTTP, rig, keys.authority, t1, null)) {
                assertTrue(call(client, null) instanceof Result.Served, "a forged list shuts nobody out");
            }
            try (WharfhingeClient client = client(Way.HTTP, rig, keys.authority, gone, null)) {
                assertTrue(call(client, null) instanceof Result.Refused, "and the former goes on to hold");
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void wrongServerIdentity_getsNoRequest(Way way) throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        for (TestCertificates.Pair server : List.of(
                keys.issue("old", "gw", "127.0.0.1", -2 * TestCertificates.DAY, -TestCertificates.DAY),
                keys.issue("early", "gw", "127.0.0.1", TestCertificates.DAY, 2 * TestCertificates.DAY),
                keys.issue("host", "gw", "127.0.0.9", -TestCertificates.DAY, TestCertificates.DAY))) {
            try (GatewayFixture rig = new GatewayFixture(
                            folder, "", "", tls(server, null, null, ""), DispatcherFactory.CACHE_AWARE);
                    WharfhingeClient client = client(way, rig, keys.authority, null, null)) {
                Result r = call(client, null);
                assertTrue(r instanceof Result.Refused, r.toString());
                assertEquals(0, rig.metric("taken"));
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Way.class)
    void tokens_areCheckedAndNeverShown(Way way) throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        TestCertificates.Pair server =
                keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
        Path secret = Files.write(folder.resolve("tokens.key"), TestCertificates.secret());
        BearerTokens tokens = new BearerTokens(secret, System::currentTimeMillis);
        long later = System.currentTimeMillis() / 1000 + 3600;
        String[] token = {null};
        try (FakePeer worker = worker();
                GatewayFixture rig = new GatewayFixture(
                        folder,
                        "",
                        "",
                        tls(server, null, null, "<proof token-key-file='" + secret + "'/>"),
                        DispatcherFactory.CACHE_AWARE);
                WharfhingeClient client = client(way, rig, keys.authority, null, () -> token[0])) {
            rig.announce(worker.id());
            token[0] = tokens.issue("a.tenant", later);
            assertTrue(call(client, null) instanceof Result.Served);
            assertEquals("a.tenant", worker.next().headers.get("wh-tenant").toString());
            assertTrue(((Result.Invalid) call(client, "b")).reason().contains("found 'b', allowed: 'a.tenant'"));
            token[0] = tokens.issue("a", later - 7200);
            assertTrue(((Result.Invalid) call(client, null)).reason().contains("expired at"));
            token[0] = tokens.issue("a", later).replace("wh1.a.", "wh1.b.");
            String forged = ((Result.Invalid) call(client, null)).reason();
            assertTrue(forged.contains("MAC is wrong") && !forged.contains(token[0]), forged);
            token[0] = "nothing";
            assertTrue(((Result.Invalid) call(client, null)).reason().contains("another form"));
            token[0] = null;
            assertTrue(((Result.Invalid) call(client, null)).reason().contains("no proof"));
            assertEquals(1, rig.metric("taken"));
        }
        Files.write(secret, new byte[3]);
        assertTrue(assertThrows(java.io.IOException.class, () -> new BearerTokens(secret, () -> 0))
                .getMessage()
                .contains("3 bytes"));
    }

    /** The serial number of what a gateway shows to a new connection. */
    private static java.math.BigInteger shown(int port) throws Exception {
        X509Certificate[] seen = new X509Certificate[1];
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(
                null,
                new TrustManager[] {
                    new X509TrustManager() {
                        @Override
                        public void checkClientTrusted(X509Certificate[] chain, String type) {}

                        @Override
                        public void checkServerTrusted(X509Certificate[] chain, String type) {
                            seen[0] = chain[0];
                        }

                        @Override
                        public X509Certificate[] getAcceptedIssuers() {
                            return new X509Certificate[0];
                        }
                    }
                },
                null);
        try (SSLSocket socket =
                (SSLSocket) context.getSocketFactory().createSocket(InetAddress.getLoopbackAddress(), port)) {
            socket.startHandshake();
        }
        return seen[0].getSerialNumber();
    }

    @Test
    void certificateWithoutItsKey_isNotUsed() throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        TestCertificates.Pair first =
                keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
        try (GatewayFixture rig =
                new GatewayFixture(folder, "", "", tls(first, null, null, ""), DispatcherFactory.CACHE_AWARE)) {
            int port = rig.gateway.address().getPort();
            TestCertificates.Pair next =
                    keys.issue("next", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
            Files.copy(next.chain(), first.chain(), StandardCopyOption.REPLACE_EXISTING);
            long until = System.nanoTime() + 2500 * MS; // two looks of a second each
            while (System.nanoTime() < until) {
                assertEquals(first.certificate().getSerialNumber(), shown(port));
            }
            Files.copy(next.key(), first.key(), StandardCopyOption.REPLACE_EXISTING);
            GatewayFixture.await("both are there", () -> {
                try {
                    return shown(port).equals(next.certificate().getSerialNumber());
                } catch (Exception e) {
                    return false;
                }
            });
        }
        Files.copy(
                keys.issue("other", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY)
                        .key(),
                first.key(),
                StandardCopyOption.REPLACE_EXISTING);
        var wrong = assertThrows(
                java.io.UncheckedIOException.class,
                () -> new GatewayFixture(folder, "", "", tls(first, null, null, ""), DispatcherFactory.CACHE_AWARE));
        assertTrue(wrong.getMessage().contains("the key is not that of the certificate"), wrong.getMessage());
    }

    @Test
    void newCertificate_isUsedForNewConnectionsOnly() throws Exception {
        TestCertificates keys = new TestCertificates(folder.resolve("keys"), "ours");
        TestCertificates.Pair soonOver = keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, 9000);
        try (FakePeer worker = worker();
                GatewayFixture rig = new GatewayFixture(
                        folder, "", "", tls(soonOver, null, null, ""), DispatcherFactory.CACHE_AWARE);
                WharfhingeClient http = client(Way.HTTP, rig, keys.authority, null, null);
                WharfhingeClient grpc = client(Way.GRPC, rig, keys.authority, null, null)) {
            rig.announce(worker.id());
            assertTrue(call(http, null) instanceof Result.Served);
            assertTrue(call(grpc, null) instanceof Result.Served);
            long connections = rig.metric("connections");
            TestCertificates.Pair next =
                    keys.issue("server", "gw", "127.0.0.1", -TestCertificates.DAY, TestCertificates.DAY);
            for (int port : new int[] {
                rig.gateway.address().getPort(), rig.gateway.grpcAddress().getPort()
            }) {
                GatewayFixture.await("the new certificate is shown", () -> {
                    try {
                        return shown(port).equals(next.certificate().getSerialNumber());
                    } catch (Exception e) {
                        return false;
                    }
                });
            }
            long expiresAt = soonOver.certificate().getNotAfter().getTime();
            GatewayFixture.await("half of its life is over", () -> System.currentTimeMillis() > expiresAt - 4500);
            GatewayFixture.await("the first has expired", () -> System.currentTimeMillis() > expiresAt);
            assertTrue(call(http, null) instanceof Result.Served);
            assertTrue(call(grpc, null) instanceof Result.Served);
            assertEquals(connections, rig.metric("connections"), "on the connection that stood");
        }
    }
}

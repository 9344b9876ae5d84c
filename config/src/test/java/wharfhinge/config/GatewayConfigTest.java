package wharfhinge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wharfhinge.policy.OnMissBehavior;

class GatewayConfigTest {
    private static final Path SAMPLES = Path.of("../deploy/samples");

    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"loads-on-call", "silent-workers", "loads-by-order"})
    void sample_loads(String name) throws InvalidConfigurationException {
        assertEquals(
                3,
                GatewayConfig.load(SAMPLES.resolve(name + ".xml"))
                        .dispatcherSettings()
                        .groupSize());
    }

    @Test
    void load_mapsUnitsEnumsAndLists() throws InvalidConfigurationException {
        GatewayConfig config = GatewayConfig.load(SAMPLES.resolve("loads-by-order.xml"));
        assertEquals(
                5_000_000_000L, config.dispatcherSettings().functionLoading().loadQuotaPeriodNanos());
        assertEquals(12, config.dispatcherSettings().functionLoading().loadQuotaBase());
        assertEquals(
                OnMissBehavior.MISS,
                config.dispatcherSettings().functionLoading().onMiss());
        assertEquals(
                List.of("q", "rif", "x1"),
                config.dispatcherSettings().feedback().metricNames());
        assertEquals("127.0.0.1", config.endpointSource().host());
        assertTrue(config.log().json());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "aim-ms=\"600\"|aim-ms=\"2600\"|found aim-ms 2600, allowed: at most give-up-ms, 2500",
                "effect=\"idempotent\"|effect=\"safe\"|found 'safe', allowed: idempotent, deduplicated, at-most-once",
                "effect=\"idempotent\"|effect=\"deduplicated\"|allowed: a window with deduplicated",
                "port=\"8400\"|port=\"70000\"|found '70000', allowed: maximum 65535",
                "port=\"8400\"|port=\"many\"|found 'many', allowed: integer",
                "port=\"8400\"||found no attribute 'port' in clients, allowed: clients with port",
                "port=\"8400\"|port=\"1\" colour=\"red\"|found attribute 'colour' in clients",
                "zone=\"zone-a\"|zone=\"zone-x\"|found zone zone-x, allowed: one of [zone-a, zone-b]",
                "number=\"0\"|number=\"3\"|found number 3, allowed: 0 to 2",
                "second-copies|dial-timeout-ms=\"700\" second-copies|found dial-timeout-ms 700, allowed: less than the aim",
                "not-loaded=\"load\"|not-loaded=\"miss\" orders=\"false\"|found not-loaded miss without orders",
                "name=\"large\"|name=\"small\"|found kind small twice, allowed: once",
                "127.0.0.1:8500|127.0.0.1:99999|allowed: a port from 1 to 65535",
                "<roster|<extra/><roster|found element extra, allowed:"
            })
    void invalidValue_isRejectedWithItsPlace(String from, String to, String expected) throws IOException {
        String text = Files.readString(SAMPLES.resolve("loads-on-call.xml")).replace(from, to == null ? "" : to);
        InvalidConfigurationException rejection = loadRejected(text);
        assertTrue(rejection.getMessage().contains(expected), rejection.getMessage());
        assertTrue(rejection.faults().get(0).line() > 1, rejection.getMessage());
        assertEquals(1, rejection.faults().size(), rejection.getMessage());
    }

    @Test
    void allFaultsOfAFile_areReportedAtOnce() throws IOException {
        String text = Files.readString(SAMPLES.resolve("loads-on-call.xml"));
        assertEquals(
                3,
                loadRejected(text.replace("8400", "-1")
                                .replace("idempotent", "x")
                                .replace("0.2\"", "7\"")
                                .replace("late-worth=\"7\"", ""))
                        .faults()
                        .size());
        assertEquals(
                2,
                loadRejected(text.replace("number=\"0\"", "number=\"9\"").replace("\"600\"", "\"3000\""))
                        .faults()
                        .size());
    }

    @Test
    void tenantShares_mustAddUpToOne() throws IOException {
        String text = Files.readString(SAMPLES.resolve("loads-on-call.xml"))
                .replace(
                        "<rules",
                        "<tenants><tenant name=\"a\" share=\"0.5\"/><tenant name=\"b\" share=\"0.6\"/></tenants><rules");
        assertTrue(loadRejected(text).getMessage().contains("add up to 1.1, allowed: 1"));
    }

    @Test
    void namedChains_areValidatedAtLoad() throws Exception {
        String text = Files.readString(SAMPLES.resolve("loads-on-call.xml"));
        String chain = "<chains><chain name=\"save\" aim-ms=\"600\"><step id=\"a\" function=\"f\" class=\"sync\" "
                + "least-ms=\"200\"/><step id=\"b\" function=\"g\" class=\"sync\" input=\"client a\" least-ms=\"300\"/>"
                + "</chain></chains><log";
        Path file = folder.resolve("chains.xml");
        Files.writeString(file, text.replace("<log", chain));
        assertEquals(
                2, GatewayConfig.load(file).chains().named().get("save").steps().size());
        assertTrue(loadRejected(text.replace("<log", chain.replace("300", "500")))
                .getMessage()
                .contains("add up to 700 ms"));
        assertTrue(loadRejected(text.replace("<log", chain.replace("client a", "b")))
                .getMessage()
                .contains("a cycle"));
        assertTrue(loadRejected(text.replace("<log", chain.replace("client a", "x")))
                .getMessage()
                .contains("found 'x'"));
        assertTrue(loadRejected(text.replace("<log", chain.replace("class=\"sync\"", "class=\"y\"")))
                .getMessage()
                .contains("found class y"));
    }

    @Test
    void entitiesAndMalformedFiles_areRejected() throws IOException {
        String text = Files.readString(SAMPLES.resolve("loads-on-call.xml"));
        String entity = text.replace("?>\n", "?>\n<!DOCTYPE x [<!ENTITY f SYSTEM \"file:///etc/hostname\">]>\n")
                .replace("name=\"gateway-1\"", "name=\"&f;\"");
        loadRejected(entity);
        assertTrue(loadRejected(text.replace("</classes>", "")).getMessage().contains("not well formed"));
        loadRejected("");
        assertTrue(
                assertThrows(InvalidConfigurationException.class, () -> GatewayConfig.load(folder.resolve("none.xml")))
                        .getMessage()
                        .contains("can't be read"));
    }

    private InvalidConfigurationException loadRejected(String text) throws IOException {
        Path file = folder.resolve("settings.xml");
        Files.writeString(file, text);
        return assertThrows(InvalidConfigurationException.class, () -> GatewayConfig.load(file));
    }
}

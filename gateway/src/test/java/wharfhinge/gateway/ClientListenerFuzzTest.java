package wharfhinge.gateway;

import com.code_intelligence.jazzer.api.FuzzedDataProvider;
import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import wharfhinge.engine.ChainCall;
import wharfhinge.gateway.front.ChainJsonCodec;
import wharfhinge.gateway.tls.BearerTokens;
import wharfhinge.policy.DeduplicationScope;
import wharfhinge.policy.Effect;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;
import wharfhinge.protocol.ClientProtocol;
import wharfhinge.protocol.ProtocolException;

/** Fuzzes what clients send: each input is accepted, or rejected with a reason. Without JAZZER_FUZZ only the seed inputs run. */
class ClientListenerFuzzTest {
    private static final byte[] KEY = new byte[32];
    private static final BearerTokens TOKENS = tokens();
    private static final ChainJsonCodec CHAINS = chains();

    private static BearerTokens tokens() {
        try {
            Path file = Files.createTempFile("tokens", ".key");
            Files.write(file, KEY);
            BearerTokens tokens = new BearerTokens(file, () -> 1_000_000_000_000L);
            Files.delete(file);
            return tokens;
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static ChainJsonCodec chains() {
        try {
            RequestClass requestClass =
                    new RequestClass("safe", Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 1, 2, 1, 0, false, 0);
            Path folder = Files.createTempDirectory("fuzz");
            return new ChainJsonCodec(
                    Map.of("safe", requestClass),
                    requestClass,
                    GatewayFixture.config(folder, "", "", 1).chains());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @FuzzTest(maxDuration = "10m")
    void headers(FuzzedDataProvider data) {
        Map<String, String> headerValues = new LinkedHashMap<>();
        try {
            CallHead head = CallHead.parse(
                    ClientProtocol.CALL_PATH + data.consumeString(140),
                    name -> headerValues.computeIfAbsent(
                            name.toString(), ignored -> data.consumeBoolean() ? data.consumeString(70) : null));
            if (head.deadlineMillis() < 0
                    || head.lanes() < 0
                    || head.costUs() < 0
                    || !(head.memoryMb() >= 0)
                    || head.function().isEmpty()) {
                throw new AssertionError(head.toString());
            }
        } catch (ProtocolException e) {
            if (!e.getMessage().contains("allowed")) {
                throw new AssertionError(e);
            }
        }
    }

    @FuzzTest(maxDuration = "10m")
    void bearerToken(FuzzedDataProvider data) {
        String text = data.consumeRemainingAsString();
        try {
            String tenant = TOKENS.tenantOf(text);
            if (tenant != null && !text.startsWith("Bearer wh1." + tenant + '.')) {
                throw new AssertionError("accepted a token as that of another tenant than it names");
            }
        } catch (BearerTokens.InvalidTokenException e) {
            if (text.length() > 40 && e.getMessage().contains(text)) {
                throw new AssertionError("the error message contains the token");
            }
        }
    }

    @FuzzTest(maxDuration = "10m")
    void chainJson(byte[] bytes) {
        try {
            ChainCall call = CHAINS.read(bytes, "x1", 0, (end, answers) -> {});
            if (call.plan().steps().isEmpty() || call.deadlineNanos() <= 0) {
                throw new AssertionError("accepted without steps or deadline: " + call);
            }
        } catch (ChainJsonCodec.InvalidChainException e) {
            if (e.getMessage().isEmpty()) {
                throw new AssertionError("rejected without a reason");
            }
        }
    }
}

package wharfhinge.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Codecs of the wire protocols. */
class CodecTest {
    private static final RosterEntry ENTRY =
            new RosterEntry("127.0.0.1:8001", "hall-a", "std", 3, RosterEntry.State.DRAINING, 1.5, 1200, "b7");

    @Test
    void streamSplitAnywhere_decodesToTheSameFrames() throws ProtocolException {
        List<RosterFrame> sent = List.of(
                new RosterFrame(RosterFrame.Kind.ALL, 0, 7, List.of(ENTRY)),
                new RosterFrame(RosterFrame.Kind.HEARTBEAT, 0, 7, List.of()),
                new RosterFrame(RosterFrame.Kind.CHANGES, 7, 9, List.of(ENTRY, ENTRY)));
        StringBuilder text = new StringBuilder();
        sent.forEach(frame -> text.append(frame.text()));
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int chunkLength = 1; chunkLength < 40; chunkLength++) {
            List<RosterFrame> received = new ArrayList<>();
            RosterDecoder decoder = new RosterDecoder();
            for (int i = 0; i < bytes.length; i += chunkLength) {
                decoder.decode(
                        Unpooled.wrappedBuffer(bytes, i, Math.min(chunkLength, bytes.length - i)), received::add);
            }
            assertEquals(sent, received);
            assertFalse(decoder.midFrame());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "all x 1\n",
                "all 1\n",
                "more 1\n",
                "changes 1 2 -1\n",
                "all 1 1\nw a:1 z k 0 U 1 -\n",
                "all 1 1\nw a z k 0 U 1 - -\n",
                "all 1 1\nw a:1 z k 0 X 1 - -\n",
                "all 1 1\nw a:1 z k 0 U NaN - -\n",
                "all 99999999999999999999 0\n"
            })
    void malformedLine_isNamedInTheMessage(String text) {
        ProtocolException exception = assertThrows(ProtocolException.class, () -> new RosterDecoder()
                .decode(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), frame -> {}));
        assertTrue(exception.getMessage().matches("line \\d: found .*, allowed: .*"), exception.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "wh-deadline-ms,0",
        "wh-deadline-ms,-5",
        "wh-deadline-ms,soon",
        "wh-deadline-ms,1.5",
        "wh-lanes,9999",
        "wh-memory-mb,NaN",
        "wh-memory-mb,-1",
        "wh-repeat,yes",
        "wh-tenant,a b",
        "wh-cost-us,99999999999999999999"
    })
    void malformedHeader_isNamedInTheMessage(String name, String value) {
        ProtocolException exception = assertThrows(
                ProtocolException.class,
                () -> CallHead.parse("/v1/call/f", h -> h.toString().equals(name) ? value : null));
        assertTrue(exception.getMessage().startsWith(name + ": found"), exception.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a/b", "a%20b", "ä"})
    void malformedFunction_isRejected(String function) {
        assertThrows(ProtocolException.class, () -> CallHead.parse("/v1/call/" + function, h -> null));
    }

    @Test
    void loadReport_malformed_isEmpty() {
        assertEquals(Map.of("rif", 7.0, "x0", 0.4), LoadReport.parse("rif:7,x0:0.4"));
        assertEquals("rif:7", LoadReport.format(Map.of("rif", 7.0)));
        for (String malformed : List.of(
                "",
                "rif",
                "rif:",
                ":1",
                "rif:x",
                "rif:NaN",
                "a:1,b:1,c:1,d:1,e:1,f:1,g:1,h:1,i:1",
                "a:1".repeat(200))) {
            assertEquals(Map.of(), LoadReport.parse(malformed), malformed);
        }
    }

    @Test
    void unknownWireValues_areTolerated() {
        assertEquals(CopyNote.NONE, CopyNote.of("unheard-of"));
        assertEquals(null, AnswerCode.of("unheard-of"));
    }
}

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

class CodecTest {
    private static final RosterEntry ENTRY =
            new RosterEntry("127.0.0.1:8001", "hall-a", "std", 3, RosterEntry.State.DRAINING, 1.5, 1200, "b7");

    @Test
    void framesSurviveAnyCut() throws ProtocolException {
        List<RosterFrame> sent = List.of(
                new RosterFrame(RosterFrame.Kind.ALL, 0, 7, List.of(ENTRY)),
                new RosterFrame(RosterFrame.Kind.BEAT, 0, 7, List.of()),
                new RosterFrame(RosterFrame.Kind.CHANGES, 7, 9, List.of(ENTRY, ENTRY)));
        StringBuilder text = new StringBuilder();
        sent.forEach(frame -> text.append(frame.text()));
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int cut = 1; cut < 40; cut++) {
            List<RosterFrame> got = new ArrayList<>();
            RosterDecoder decoder = new RosterDecoder();
            for (int i = 0; i < bytes.length; i += cut) {
                decoder.decode(Unpooled.wrappedBuffer(bytes, i, Math.min(cut, bytes.length - i)), got::add);
            }
            assertEquals(sent, got);
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
    void aBadLineIsNamed(String text) {
        ProtocolException e = assertThrows(ProtocolException.class, () -> new RosterDecoder()
                .decode(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8), frame -> {}));
        assertTrue(e.getMessage().matches("line \\d: found .*, allowed: .*"), e.getMessage());
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
    void aBadHeaderIsNamed(String name, String value) {
        ProtocolException e = assertThrows(
                ProtocolException.class,
                () -> CallHead.parse("/v1/call/f", h -> h.toString().equals(name) ? value : null));
        assertTrue(e.getMessage().startsWith(name + ": found"), e.getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a/b", "a%20b", "ä"})
    void aBadFunctionIsNamed(String function) {
        assertThrows(ProtocolException.class, () -> CallHead.parse("/v1/call/" + function, h -> null));
    }

    @Test
    void reportsAreReadAndBadOnesAreEmpty() {
        assertEquals(Map.of("rif", 7.0, "x0", 0.4), LoadReport.parse("rif:7,x0:0.4"));
        assertEquals("rif:7", LoadReport.format(Map.of("rif", 7.0)));
        for (String bad : List.of(
                "",
                "rif",
                "rif:",
                ":1",
                "rif:x",
                "rif:NaN",
                "a:1,b:1,c:1,d:1,e:1,f:1,g:1,h:1,i:1",
                "a:1".repeat(200))) {
            assertEquals(Map.of(), LoadReport.parse(bad), bad);
        }
    }

    @Test
    void unknownWordsDoNoHarm() {
        assertEquals(CopyNote.NONE, CopyNote.of("unheard-of"));
        assertEquals(null, AnswerCode.of("unheard-of"));
    }
}

package wharfhinge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parsing of request headers. */
class WorkerCallTest {

    private static WorkerCall parse(String... headers) {
        Map<String, String> map = new java.util.HashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            map.put(headers[i], headers[i + 1]);
        }
        return WorkerCall.of(name -> map.get(name.toString()));
    }

    @Test
    void deadlineBelowOneMillisecond_isRoundedUpToOne() { // found by the fuzzer: the deadline had passed on arrival
        assertEquals(1, parse("wh-deadline-ms", "0.5").waitMillis());
    }

    @Test
    void missingOrInvalidNumbers_areIgnored() {
        for (String wrong : new String[] {"", "x", "-1", "NaN", "1e99", "Infinity"}) {
            WorkerCall headers =
                    parse("wh-deadline-ms", wrong, "wh-memory-mb", wrong, "wh-lanes", wrong, "wh-cost-us", wrong);
            assertEquals(3_600_000, headers.waitMillis(), wrong);
            assertEquals(0, headers.memoryEstimate().memoryKb(), wrong);
        }
    }

    @Test
    void controlCharactersInHeaders_cannotForgeEventLogLines() {
        assertEquals("a?recv", parse("wh-call", "a\trecv").id());
        assertEquals("-", parse().id());
    }
}

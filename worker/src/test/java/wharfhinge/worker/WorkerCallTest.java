package wharfhinge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** What headers tell, and what they must not. */
class WorkerCallTest {

    private static WorkerCall of(String... headers) {
        Map<String, String> map = new java.util.HashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            map.put(headers[i], headers[i + 1]);
        }
        return WorkerCall.of(name -> map.get(name.toString()));
    }

    @Test
    void aDeadlineUnderAMillisecondIsOne() { // found by the fuzzer: it counted as over before the call came
        assertEquals(1, of("wh-deadline-ms", "0.5").waitMillis());
    }

    @Test
    void untoldAndWrongFiguresAreAdviceNotTaken() {
        for (String wrong : new String[] {"", "x", "-1", "NaN", "1e99", "Infinity"}) {
            WorkerCall head =
                    of("wh-deadline-ms", wrong, "wh-memory-mb", wrong, "wh-lanes", wrong, "wh-cost-us", wrong);
            assertEquals(3_600_000, head.waitMillis(), wrong);
            assertEquals(0, head.hint().memoryKb(), wrong);
        }
    }

    @Test
    void namesCantForgeLinesOfTheEventLog() {
        assertEquals("a?recv", of("wh-call", "a\trecv").id());
        assertEquals("-", of().id());
    }
}

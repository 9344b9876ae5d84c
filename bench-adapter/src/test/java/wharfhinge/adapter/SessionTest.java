package wharfhinge.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SessionTest {
    private static final String SETTINGS = "{\"classes\": [{\"name\": \"c\", \"effect\": \"idempotent\", "
            + "\"group\": \"all\", \"hard_limit_ns\": 2500000000, \"on_time_ns\": 600000000, \"worth\": 1.0}], "
            + "\"family_info\": {\"keep_ns\": 8400000000, \"load_control\": true, \"not_loaded\": \"load\"}, "
            + "\"limits\": {\"max_attempts\": 5, \"second_copies\": true, \"cancelling\": true}, "
            + "\"obligations\": {\"cold_from\": 0.17, \"overload_factor\": 2.0, \"tip_after_ns\": 1000000000, "
            + "\"warm_after_ns\": 16000000000}, \"group_size\": 1, \"tick_ns\": 4000000, \"new_key\": [1, {}]}";
    private static final String BEGIN =
            "TICK 1000\nBEGIN 3 7 " + SETTINGS + "\n" + "MEMBERS 3 remembered 1 1\nM h:1 z k 0 U 1 -\nCOMMIT\n";
    private static final String QUERY = "TICK 2000\nQUERY 3 t/a - 240000000 384 00ff - 2 - c 0\nCOMMIT\n";

    /** The timer that ends the wait for answers to the residency queries of the call t/a. */
    private static final String RESIDENCY_REPLY_TIMEOUT = "TICK 2400\nDUE 3 look:t/a\nCOMMIT\n";

    private static String run(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Session(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void assertMalformed(String input, String reason) {
        MalformedInputException e = assertThrows(MalformedInputException.class, () -> run(input));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
        assertTrue(e.getMessage().startsWith("line "), e.getMessage());
    }

    @Test
    void emptyInput_givesNoReply() throws Exception {
        assertEquals("", run(""));
    }

    @Test
    void emptyBatch_givesEmptyReply() throws Exception {
        assertEquals("FINISHED\n", run("TICK 8412250000\nCOMMIT\n"));
    }

    @Test
    void request_isSentAndServed() throws Exception {
        String reply = run(BEGIN + QUERY + RESIDENCY_REPLY_TIMEOUT
                + "TICK 3000\nCOMPLETED 3 t/a 0 0 18500000 h:1 1 1 rif:7,x0:0.4\nCOMMIT\n");
        assertTrue(reply.contains("ATTEMPT 3 t/a 0 h:1\n"), reply);
        assertEquals(4, reply.split("FINISHED\n", -1).length - 1);
        assertTrue(!reply.contains("PUSH_BACK") && !reply.contains("DROP_REQUEST"), reply);
    }

    @Test
    void everyEvent_isDecoded() throws Exception {
        String reply = run(BEGIN + QUERY + "TICK 4000\nCHECKED 3 h:1 0 1400000 rif:7\n"
                + "ESTABLISHED 3 t/a 9250000 0 h:1\nINBOX 3 2 68692037\nDUE 3 a token\n"
                + "RESIDENT 3 640000000 1 0 h:1 00ff\nTIMED_OUT_CLIENT 3 t/a\n"
                + "MEMBERS 3 changes 2 1\nM h:1 z k 0 L 1 -\nMEMBERS 3 all 3 0\nRETIRE 3\nCOMMIT\n");
        assertTrue(reply.endsWith("FINISHED\n"), reply);
    }

    @Test
    void exceptionInDispatcher_isReportedAsException() throws Exception {
        String reply = run(BEGIN + "TICK 2000\nQUERY 3 t/a - 240000000 384 00ff - 2 - other 0\nCOMMIT\n");
        assertTrue(reply.contains("EXCEPTION 3 "), reply);
        assertTrue(reply.contains("unknown class other"), reply);
    }

    @Test
    void anyGroupOrFleetSize_causesNoException() throws Exception {
        StringBuilder many = new StringBuilder("MEMBERS 3 remembered 1 3000\n");
        for (int k = 0; k < 3000; k++) {
            many.append("M h:").append(k).append(" nowhere - 0 U - -\n");
        }
        String one = "MEMBERS 3 remembered 1 1\nM h:1 z k 0 U 1 -\n";
        for (String size : new String[] {"", "0", "1", "5000"}) {
            String group = size.isEmpty() ? "" : "\"group_size\": " + size + ", ";
            String begin = BEGIN.replace("\"group_size\": 1, ", group);
            assertTrue(run(begin + QUERY + RESIDENCY_REPLY_TIMEOUT).contains("ATTEMPT 3 t/a 0 h:1\n"), group);
            String empty = run(begin.replace(one, "MEMBERS 3 remembered 1 0\n") + QUERY);
            assertTrue(!empty.contains("EXCEPTION") && !empty.contains("ATTEMPT"), empty);
            assertTrue(
                    run(begin.replace(one, many) + QUERY + RESIDENCY_REPLY_TIMEOUT)
                            .contains("ATTEMPT 3 t/a 0 h:"),
                    group);
        }
    }

    @Test
    void malformedInput_isReportedWithLineAndReason() {
        assertMalformed("HELLO\n", "line 1: a batch begins with TICK");
        assertMalformed("TICK x\nCOMMIT\n", "not a whole number");
        assertMalformed(BEGIN + "TICK 1\n", "the clock runs backwards");
        assertMalformed(BEGIN + "TICK 2000\n", "the input ends within a batch");
        assertMalformed(BEGIN + "TICK 2000\nWHAT 3\nCOMMIT\n", "unknown message: WHAT");
        assertMalformed(BEGIN + "TICK 2000\nTIMED_OUT_CLIENT 3\nCOMMIT\n", "missing value: call");
        assertMalformed(BEGIN + "TICK 2000\nTIMED_OUT_CLIENT 3 a b\nCOMMIT\n", "more values than expected");
        assertMalformed(BEGIN + "TICK 2000\nTIMED_OUT_CLIENT 9 a\nCOMMIT\n", "instance never begun: 9");
        assertMalformed(BEGIN + "TICK 2000\nRETIRE 9\nCOMMIT\n", "instance never begun: 9");
        assertMalformed(BEGIN + "TICK 2000\nCHECKED 3 h:1 77 1 -\nCOMMIT\n", "unknown verdict: 77");
        assertMalformed(BEGIN + "TICK 2000\nCHECKED 3 h:1 0 1 rif\nCOMMIT\n", "not name:value pairs");
        assertMalformed(BEGIN + "TICK 2000\nMEMBERS 3 all 1 2\nM h:1 z k 0 U 1 -\nCOMMIT\n", "an entry begins with M");
        assertMalformed("TICK 1\nBEGIN 3 7 {\nCOMMIT\n", "settings: ");
        assertMalformed("TICK 1\nBEGIN 3 7 {}\nCOMMIT\n", "settings: ");
    }
}

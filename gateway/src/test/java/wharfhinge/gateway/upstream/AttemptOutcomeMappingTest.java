package wharfhinge.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.AnswerCode;

/** Tests the outcome that each end of an exchange with a worker is mapped to, and whether it proves that nothing was executed. */
class AttemptOutcomeMappingTest {
    private static final Set<Outcome> PROVE_NOT_EXECUTED =
            EnumSet.of(Outcome.SATURATED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED, Outcome.NOT_LOADED);

    @ParameterizedTest
    @CsvSource({
        "CONNECT_FAILED,CONNECT_FAILED",
        "WRITE_FAILED,CONNECT_FAILED",
        "STREAM_REFUSED,SATURATED",
        "GOAWAY_RECEIVED,SATURATED",
        "STREAM_RESET,RESET",
        "CONNECTION_LOST,RESET",
        "RESPONSE_TOO_LARGE,ERROR",
        "TIMED_OUT,TIMEOUT",
        "CANCELLED_UNSENT,CANCELLED",
        "DEADLINE_EXCEEDED_UNSENT,SUPERSEDED"
    })
    void exchangeEnd_isMappedToItsOutcome(AttemptOutcomeMapping end, Outcome outcome) {
        assertEquals(outcome, end.outcome(0, null));
        assertEquals(
                PROVE_NOT_EXECUTED.contains(outcome),
                end.provesNotExecuted(),
                "an outcome that proves non-execution needs an exchange end that proves it");
    }

    @ParameterizedTest
    @CsvSource({
        "200,,SERVED",
        "204,,SERVED",
        "500,,ERROR",
        "404,,ERROR",
        "503,,ERROR",
        "0,,ERROR",
        "200,SERVED,SERVED",
        "503,FULL,SATURATED",
        "404,MISS,NOT_LOADED",
        "500,ERROR,ERROR",
        "200,MISS,NOT_LOADED"
    })
    void response_isMappedByItsHeadersElseByItsStatus(int status, AnswerCode code, Outcome outcome) {
        assertEquals(outcome, AttemptOutcomeMapping.RESPONSE_RECEIVED.outcome(status, code));
    }

    /** The reasons are part of the access log and of {@code wh-reason}. */
    @ParameterizedTest
    @CsvSource({
        "RESPONSE_RECEIVED,answered",
        "CONNECT_FAILED,not-connected",
        "WRITE_FAILED,not-written",
        "CANCELLED_UNSENT,withdrawn",
        "DEADLINE_EXCEEDED_UNSENT,too-late",
        "STREAM_REFUSED,stream-refused",
        "GOAWAY_RECEIVED,gone-away",
        "STREAM_RESET,stream-reset",
        "CONNECTION_LOST,connection-lost",
        "RESPONSE_TOO_LARGE,too-large",
        "TIMED_OUT,timed-out"
    })
    void reason_isThatOfTheProtocol(AttemptOutcomeMapping end, String reason) {
        assertEquals(reason, end.reason());
    }

    @Test
    void tables_coverAllExchangeEnds() {
        assertEquals(11, AttemptOutcomeMapping.values().length);
    }
}

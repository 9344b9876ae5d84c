package wharfhinge.gateway.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.AnswerCode;

/** The table of what the wire shows and what it proves. */
class EndingTest {
    private static final Set<Outcome> NEVER_RAN =
            EnumSet.of(Outcome.SATURATED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED, Outcome.NOT_LOADED);

    @ParameterizedTest
    @CsvSource({
        "NOT_CONNECTED,CONNECT_FAILED",
        "NOT_WRITTEN,CONNECT_FAILED",
        "STREAM_REFUSED,SATURATED",
        "GONE_AWAY,SATURATED",
        "STREAM_RESET,RESET",
        "CONNECTION_LOST,RESET",
        "TOO_LARGE,ERROR",
        "TIMED_OUT,TIMEOUT",
        "WITHDRAWN,CANCELLED",
        "TOO_LATE,SUPERSEDED"
    })
    void eachEndingHasOneOutcome(Ending ending, Outcome outcome) {
        assertEquals(outcome, ending.outcome(0, null));
        assertEquals(NEVER_RAN.contains(outcome), ending.provesUnrun(), "an outcome that proves must be proven");
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
    void anAnswersWordsDecideAndWithoutThemNothingIsProven(int status, AnswerCode code, Outcome outcome) {
        assertEquals(outcome, Ending.ANSWERED.outcome(status, code));
    }

    /** The words go into the access log and {@code wh-reason}. */
    @ParameterizedTest
    @CsvSource({
        "ANSWERED,answered",
        "NOT_CONNECTED,not-connected",
        "NOT_WRITTEN,not-written",
        "WITHDRAWN,withdrawn",
        "TOO_LATE,too-late",
        "STREAM_REFUSED,stream-refused",
        "GONE_AWAY,gone-away",
        "STREAM_RESET,stream-reset",
        "CONNECTION_LOST,connection-lost",
        "TOO_LARGE,too-large",
        "TIMED_OUT,timed-out"
    })
    void word_isThatOfTheProtocol(Ending ending, String word) {
        assertEquals(word, ending.word());
    }

    @Test
    void everyEndingIsInTheTable() {
        assertEquals(11, Ending.values().length);
    }
}

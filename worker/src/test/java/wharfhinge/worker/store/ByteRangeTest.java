package wharfhinge.worker.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of ranges as in RFC 9110, 14.1.2, for a file of ten bytes. */
class ByteRangeTest {

    @ParameterizedTest
    @CsvSource(
            value = {
                "bytes=0-4,0,4",
                "bytes=5-,5,9",
                "bytes=-3,7,9",
                "bytes=-30,0,9",
                "bytes=8-99,8,9",
                "bytes=10-,-2,-2",
                "bytes=-0,-2,-2",
                "bytes=4-3,-1,-1",
                "bytes=a-3,-1,-1",
                "bytes=-,-1,-1",
                "bytes=,-1,-1",
                "lines=0-1,-1,-1",
                "bytes=0-99999999999999999999,-1,-1",
                "bytes=0-1;2-3,-1,-1"
            })
    void parse_followsRfc9110(String header, long from, long to) {
        assertEquals(new ByteRange(from, to), ByteRange.parse(header.replace(';', ','), 10));
    }
}

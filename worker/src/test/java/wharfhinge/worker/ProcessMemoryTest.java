package wharfhinge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Measures the memory of the process and what of it counts as leaked. */
class ProcessMemoryTest {

    @Test
    void leakedKb_isWhatExceedsCopiesAndTheOwnMemoryOfTheProcess() {
        assertEquals(0, ProcessMemory.leakedKb(300, 100, 100, 100, 200));
        assertEquals(50, ProcessMemory.leakedKb(350, 100, 100, 100, 200), "resident memory that no copy accounts for");
        assertEquals(40, ProcessMemory.leakedKb(100, 140, 100, 100, 200), "mapped memory that no copy accounts for");
        assertEquals(0, ProcessMemory.leakedKb(-1, 100, 100, 100, 200), "resident memory unknown");
    }

    @Test
    void residentKb_ofThisProcess_isMeasured() {
        assertTrue(new ProcessMemory().residentKb() > 1000);
        assertEquals(0, new ProcessMemory().mappedKb());
    }
}

package wharfhinge.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What counts as leaked. */
class ProcessMemoryTest {

    @Test
    void leakedKb_isWhatExceedsCopiesAndTheOwnMemoryOfTheProcess() {
        assertEquals(0, ProcessMemory.leakedKb(300, 100, 100, 100, 200));
        assertEquals(50, ProcessMemory.leakedKb(350, 100, 100, 100, 200), "resident, whoever holds it");
        assertEquals(40, ProcessMemory.leakedKb(100, 140, 100, 100, 200), "mapped, and in no book");
        assertEquals(0, ProcessMemory.leakedKb(-1, 100, 100, 100, 200), "where the system does not tell");
    }

    @Test
    void residentKb_ofThisProcess_isMeasured() {
        assertTrue(new ProcessMemory().residentKb() > 1000);
        assertEquals(0, new ProcessMemory().mappedKb());
    }
}

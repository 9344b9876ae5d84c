package wharfhinge.standin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks handwritten memory accounting and smaps files, each with one deviation or none. */
class MemoryJudgeTest {
    private final MemoryAccountingVerifier judge = new MemoryAccountingVerifier();

    private static String accounting(long free, long idle, long working, long resident) {
        return "total_kb 100000\nfree_kb " + free + "\nloading_kb 0\nidle_kb " + idle + "\nworking_kb " + working
                + "\nleaving_kb 0\nstuck_kb 0\nleaked_kb 0\nresident_kb " + resident + "\n";
    }

    private static String smaps(long copyKb) {
        return "7f0000000000-7f0001000000 rw-p 00000000 08:01 42   /w/images/copies.map (deleted)\nSize: 99999 kB\nRss: "
                + copyKb
                + " kB\nPrivate_Dirty: 1 kB\n7f1000000000-7f1000001000 r--s 00000000 08:01 43   /usr/lib/x.so\n"
                + "Rss: 77777 kB\nVmFlags: rd mr\n";
    }

    private int faults(String before, String smaps, String after) {
        judge.sample("w", before, smaps, after);
        return judge.faults().size();
    }

    @Test
    void sample_accountingMatchesProcess_findsNoFault() {
        assertEquals(
                0,
                faults(
                        accounting(60_000, 30_000, 10_000, 40_000),
                        smaps(40_000),
                        accounting(60_000, 30_000, 10_000, 40_000)));
        assertTrue(judge.summary().contains("1 samples (0 while the books moved), most held by a process 40000 KiB"));
    }

    @Test
    void sample_residentMemoryDiffersFromAccounting_findsFault() {
        String accounting = accounting(60_000, 30_000, 10_000, 40_000);
        assertEquals(1, faults(accounting, smaps(41_000), accounting), "2.4% more");
        assertEquals(2, faults(accounting, smaps(39_000), accounting), "2.6% less");
        assertEquals(2, faults(accounting, smaps(40_700), accounting), "1.7% more");
    }

    @Test
    void sample_copyMissingFromAccounting_findsFault() {
        String incomplete = accounting(50_000, 30_000, 10_000, 40_000);
        assertEquals(
                2,
                faults(incomplete, smaps(40_000), incomplete),
                "the accounting adds up to 90,000 of 100,000, before and after");
    }

    @Test
    void sample_residentMemoryOfNoState_findsFault() {
        String unexplained = accounting(60_000, 30_000, 10_000, 48_000);
        assertEquals(2, faults(unexplained, smaps(48_000), unexplained));
    }

    @Test
    void sample_accountingChangesMeanwhile_widensRange() {
        assertEquals(
                0,
                faults(
                        accounting(60_000, 30_000, 10_000, 40_000),
                        smaps(32_000),
                        accounting(50_000, 40_000, 10_000, 50_000)));
        assertEquals(
                1,
                faults(
                        accounting(60_000, 30_000, 10_000, 40_000),
                        smaps(20_000),
                        accounting(50_000, 40_000, 10_000, 50_000)));
    }
}

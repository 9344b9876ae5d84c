package wharfhinge.worker.copy;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** One call's slot: its end, a cancel and a giving up in every order; finish and giveUp never both win. */
public class CallSlotLincheckTest {
    private final CallSlot slot = new CallSlot();

    /** Begins, as its thread does. */
    public CallSlotLincheckTest() {
        slot.begin();
    }

    /** The thread's side. */
    @Operation(runOnce = true)
    public boolean finish() {
        return slot.finish();
    }

    /** The clock's side. */
    @Operation(runOnce = true)
    public boolean giveUp() {
        return slot.giveUp();
    }

    /** The caller's side. */
    @Operation(runOnce = true)
    public void cancel() {
        slot.cancel();
    }

    /** The code's side. */
    @Operation(runOnce = true)
    public boolean cancelled() {
        return slot.cancelled();
    }

    @Test
    void operationsInEveryOrder_areLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(1)
                .actorsBefore(0)
                .actorsAfter(1)
                .check(getClass());
    }
}

package wharfhinge.worker.copy;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Model checks a call that ends, is cancelled and is given up concurrently: finish and giveUp never both return true. */
public class CallSlotLincheckTest {
    private final CallSlot slot = new CallSlot();

    /** Starts the call, as its thread does. */
    public CallSlotLincheckTest() {
        slot.begin();
    }

    /** The thread that runs the call. */
    @Operation(runOnce = true)
    public boolean finish() {
        return slot.finish();
    }

    /** The timer of the call's limit. */
    @Operation(runOnce = true)
    public boolean giveUp() {
        return slot.giveUp();
    }

    /** The caller. */
    @Operation(runOnce = true)
    public void cancel() {
        slot.cancel();
    }

    /** The function. */
    @Operation(runOnce = true)
    public boolean isCancelled() {
        return slot.isCancelled();
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

package wharfhinge.decisions.chain;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.chain.ChainPlan.InvalidPlanException;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.policy.Effect;

class ChainPlanTest {
    private static Step step(String id, Effect effect, String... needs) {
        return new Step(id, "f", "c", effect, List.of(needs), 0, 0);
    }

    @Test
    void of_rejectsInvalidPlansAndNamesThePlace() {
        for (List<Step> invalid : List.of(
                List.<Step>of(), List.of(step("a", Effect.IDEMPOTENT, "b"), step("b", Effect.IDEMPOTENT, "a")),
                List.of(step("a", Effect.IDEMPOTENT, "x")),
                        List.of(step("a", Effect.IDEMPOTENT), step("a", Effect.IDEMPOTENT)))) {
            String text = assertThrows(InvalidPlanException.class, () -> ChainPlan.of(invalid))
                    .getMessage();
            assertTrue(text.matches("steps.*: found .*, allowed: .*"), text);
        }
        List<Step> tooDeep = new ArrayList<>();
        for (int i = 0; i <= ChainPlan.MAX_DEPTH; i++) {
            tooDeep.add(i == 0 ? step("s0", Effect.IDEMPOTENT) : step("s" + i, Effect.IDEMPOTENT, "s" + (i - 1)));
        }
        assertThrows(InvalidPlanException.class, () -> ChainPlan.of(tooDeep));
    }
}

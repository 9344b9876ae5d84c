package wharfhinge.engine;

import wharfhinge.decisions.chain.FinishedSteps;

/** Keeps finished steps over a restart; called by the loop's thread, never blocks. */
public interface StepJournal extends AutoCloseable {
    /** Keeps nothing. */
    StepJournal NONE = new StepJournal() {
        @Override
        public boolean recordStep(
                String tenant,
                String key,
                String digest,
                int steps,
                int step,
                FinishedSteps.Answer answer,
                Runnable kept) {
            return false;
        }

        @Override
        public void restore(RestoredStepListener to) {}

        @Override
        public void close() {}
    };

    /** Takes what was kept. */
    @FunctionalInterface
    interface RestoredStepListener {
        /** A step that was finished {@code ageNs} ago. */
        void onStepRestored(
                long ageNanos,
                String tenant,
                String key,
                String digest,
                int steps,
                int step,
                FinishedSteps.Answer answer);
    }

    /**
     * A step was finished.
     *
     * @param kept run on another thread once a killed process would not lose it, or once it is known that it can't be kept
     * @return false where it is not kept; {@code kept} is then never run
     */
    boolean recordStep(
            String tenant, String key, String digest, int steps, int step, FinishedSteps.Answer answer, Runnable kept);

    /** Tells all that is kept, before the first chain. */
    void restore(RestoredStepListener to);

    @Override
    void close();
}

package wharfhinge.engine;

import wharfhinge.decisions.chain.StepAnswerCache;

/** Records finished steps of chains across restarts. Called on the engine's thread; never blocks. */
public interface StepJournal extends AutoCloseable {
    /** Records nothing. */
    StepJournal NONE = new StepJournal() {
        @Override
        public boolean recordStep(
                String tenant,
                String key,
                String digest,
                int steps,
                int step,
                StepAnswerCache.Answer answer,
                Runnable kept) {
            return false;
        }

        @Override
        public void restore(RestoredStepListener to) {}

        @Override
        public void close() {}
    };

    /** Receives what an earlier process recorded. */
    @FunctionalInterface
    interface RestoredStepListener {
        /** A step that finished {@code ageNanos} ago. */
        void onStepRestored(
                long ageNanos,
                String tenant,
                String key,
                String digest,
                int steps,
                int step,
                StepAnswerCache.Answer answer);
    }

    /**
     * Records a finished step.
     *
     * @param kept run on another thread once the record survives a crash, or once it is known that it cannot be written
     * @return false where it is not recorded; {@code kept} is then never run
     */
    boolean recordStep(
            String tenant,
            String key,
            String digest,
            int steps,
            int step,
            StepAnswerCache.Answer answer,
            Runnable kept);

    /** Restores all records, before the first chain. */
    void restore(RestoredStepListener to);

    @Override
    void close();
}

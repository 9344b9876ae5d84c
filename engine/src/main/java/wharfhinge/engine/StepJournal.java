package wharfhinge.engine;

import wharfhinge.decisions.chain.StepAnswerCache;

/** Stores finished steps of chains, so that they survive a restart. Called on the engine's thread; never blocks. */
public interface StepJournal extends AutoCloseable {
    /** Records nothing. */
    StepJournal NONE = new StepJournal() {
        @Override
        public boolean recordStep(
                String tenant,
                String key,
                String digest,
                int stepCount,
                int step,
                StepAnswerCache.Answer answer,
                Runnable onCompleted) {
            return false;
        }

        @Override
        public void restore(RestoredStepListener listener) {}

        @Override
        public void close() {}
    };

    /** Receives the steps that an earlier process recorded. */
    @FunctionalInterface
    interface RestoredStepListener {
        /** A step that finished {@code ageNanos} ago. */
        void onStepRestored(
                long ageNanos,
                String tenant,
                String key,
                String digest,
                int stepCount,
                int step,
                StepAnswerCache.Answer answer);
    }

    /**
     * Records a finished step.
     *
     * @param onCompleted run on another thread once the record survives a crash, or once it is known that it cannot be written
     * @return false if the step is not recorded; {@code onCompleted} is then never run
     */
    boolean recordStep(
            String tenant,
            String key,
            String digest,
            int stepCount,
            int step,
            StepAnswerCache.Answer answer,
            Runnable onCompleted);

    /** Passes all records to {@code listener}, before the first chain starts. */
    void restore(RestoredStepListener listener);

    @Override
    void close();
}

package wharfhinge.gateway.loop;

import wharfhinge.decisions.chain.FinishedSteps;

/** Keeps finished steps over a restart; called by the loop's thread, never blocks. */
public interface StepJournal extends AutoCloseable {
    /** Keeps nothing. */
    StepJournal NONE = new StepJournal() {
        @Override
        public void finished(String tenant, String key, String digest, int steps, int step,
                             FinishedSteps.Answer answer) { }

        @Override
        public void restore(Restored to) { }

        @Override
        public void close() { }
    };

    /** Takes what was kept. */
    @FunctionalInterface
    interface Restored {
        /** A step that was finished {@code ageNs} ago. */
        void step(long ageNs, String tenant, String key, String digest, int steps, int step,
                  FinishedSteps.Answer answer);
    }

    /** A step was finished. */
    void finished(String tenant, String key, String digest, int steps, int step, FinishedSteps.Answer answer);

    /** Tells all that is kept, before the first chain. */
    void restore(Restored to);

    @Override
    void close();
}

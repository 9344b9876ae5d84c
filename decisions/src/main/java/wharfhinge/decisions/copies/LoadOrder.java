package wharfhinge.decisions.copies;

/**
 * An order that waits until enough copies of its function are ready.
 *
 * @param id           id of the order
 * @param wantedCopies number of ready copies that the order waits for: as many as requested, or as many as could be admitted
 * @param isPartial    whether more copies were requested than could be admitted
 */
record LoadOrder(long id, int wantedCopies, boolean isPartial) {}

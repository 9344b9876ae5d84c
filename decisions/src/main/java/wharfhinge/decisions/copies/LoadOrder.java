package wharfhinge.decisions.copies;

/**
 * An order that waits until enough copies of its function are ready.
 *
 * @param id           its id
 * @param wantedCopies ready copies that it waits for: what was asked for, or as many as could be admitted
 * @param isPartial    whether more was asked for than could be admitted
 */
record LoadOrder(long id, int wantedCopies, boolean isPartial) {}

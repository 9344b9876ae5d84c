package wharfhinge.decisions.door;

/**
 * What one tenant may have.
 *
 * @param weight   its share against the others' where all together want too much; above 0
 * @param perS     calls a second in the long run; 0 for no limit
 * @param burst    calls that may come at once after a rest, with {@code perS}
 * @param mostOpen calls open at once; 0 for no limit
 */
public record TenantLimit(double weight, double perS, double burst, int mostOpen) {
    /** Checks it. */
    public TenantLimit {
        if (!(weight > 0) || perS < 0 || perS > 0 && burst < 1 || mostOpen < 0) {
            throw new IllegalArgumentException("tenant: found weight " + weight + ", " + perS + " a second with burst "
                    + burst + ", most open " + mostOpen
                    + ", allowed: weight above 0, the others 0 or more, burst 1 or more with a rate");
        }
    }
}

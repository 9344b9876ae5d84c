package wharfhinge.capture;

import java.util.Arrays;
import java.util.Collection;

/**
 * A Bloom filter of the names in a block, by which a call is found among many segments without decompressing them. It has no false
 * negatives and about 1% false positives. Its layout is part of the capture format. Immutable.
 */
public final class NameFilter {
    private static final int BITS_PER_NAME = 10;
    private static final int PROBES = 7;
    private static final NameFilter MATCHES_ALL = new NameFilter(new byte[0]);

    private final byte[] bits;

    private NameFilter(byte[] bits) {
        this.bits = bits;
    }

    /** Creates a filter that contains these names. */
    static NameFilter of(Collection<String> names) {
        byte[] bits = new byte[(names.size() * BITS_PER_NAME + 7) / 8 + 1];
        for (String name : names) {
            long hash = hash(name);
            for (int i = 0; i < PROBES; i++) {
                int bit = bit(hash, i, bits.length);
                bits[bit >>> 3] |= (byte) (1 << (bit & 7));
            }
        }
        return new NameFilter(bits);
    }

    /** Creates a filter from its stored bytes; an empty filter matches every name. */
    static NameFilter read(byte[] bits) {
        return bits.length == 0 ? MATCHES_ALL : new NameFilter(bits);
    }

    byte[] bytes() {
        return Arrays.copyOf(bits, bits.length);
    }

    /** Whether the block may contain the name. */
    public boolean mightContain(String name) {
        long hash = hash(name);
        for (int i = 0; i < PROBES && bits.length > 0; i++) {
            int bit = bit(hash, i, bits.length);
            if ((bits[bit >>> 3] & 1 << (bit & 7)) == 0) {
                return false;
            }
        }
        return true;
    }

    private static int bit(long hash, int probe, int bytes) {
        return (int) Long.remainderUnsigned(hash + probe * (hash >>> 32 | 1), bytes * 8L);
    }

    /** FNV-1a, 64 bits, over UTF-16 code units: simple to implement in readers in other languages. */
    private static long hash(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}

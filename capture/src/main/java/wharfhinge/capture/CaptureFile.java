package wharfhinge.capture;

/**
 * The form of a segment on disk. A head line in ASCII, then blocks: a mark, the length of the compressed bytes, the CRC-32C of all
 * that follows, the length unpacked, the first and last time, how many frames, the length of a filter of names; then the filter and a
 * {@code Block} compressed by zstd. All numbers big endian. A block that is cut or damaged is known for it, and what stands before it is whole.
 */
final class CaptureFile {
    /** The first word of the head line. */
    static final String MAGIC = "wharfhinge-capture";
    /** The version that is written. */
    static final int VERSION = 2;
    /** The earliest that is read: its blocks have no filter. */
    static final int VERSION_WITHOUT_FILTER = 1;
    /** Before each block. */
    static final int BLOCK_MARK = 0x57484231;
    /** Of a block's head, after the mark. */
    static final int HEAD_BYTES = 4 + 4 + 4 + 8 + 8 + 4 + 4;
    /** The checksum stands before this byte of a block and covers all from here on. */
    static final int CHECKSUM_FROM = 12;
    /** Longest filter. */
    static final int MAX_FILTER_BYTES = 1 << 20;
    /** Longest block, packed or not. */
    static final int MAX_BLOCK_BYTES = 64 << 20;
    /** Name of a segment. */
    static final String SUFFIX = ".whcap";

    private CaptureFile() {}

    /** Of a block's head in that version, after the mark. */
    static int headBytes(int version) {
        return version == VERSION_WITHOUT_FILTER ? HEAD_BYTES - 4 : HEAD_BYTES;
    }

    /** The head line of a segment; wall and loop time were read together. */
    static String head(String gateway, long wallMillis, long nanos, boolean hashed) {
        return MAGIC
                + ' '
                + VERSION
                + ' '
                + gateway
                + ' '
                + wallMillis
                + ' '
                + nanos
                + ' '
                + (hashed ? "hashed" : "plain")
                + '\n';
    }
}

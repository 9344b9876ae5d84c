package wharfhinge.capture;

/**
 * The file format of a segment: a header line in ASCII, then blocks. A block has a marker, the length of what follows its header, the
 * CRC-32C of all that follows the checksum, the uncompressed length, the first and last time, the number of frames and the length of the
 * name filter; then the filter and a {@code Block} compressed by zstd. All numbers are big endian. A truncated or damaged block is
 * detected, and the blocks before it remain readable.
 */
final class CaptureFile {
    /** The first word of the header line. */
    static final String MAGIC = "wharfhinge-capture";
    /** The format version that is written. */
    static final int VERSION = 2;
    /** The earliest version that can be read; its blocks have no name filter. */
    static final int VERSION_WITHOUT_FILTER = 1;
    /** The first four bytes of each block. */
    static final int BLOCK_MARKER = 0x57484231;
    /** Length of a block header after the marker. */
    static final int HEADER_BYTES = 4 + 4 + 4 + 8 + 8 + 4 + 4;
    /** Offset in a block of the first byte that the checksum covers; the checksum itself is stored just before it. */
    static final int CHECKSUM_START = 12;
    /** Maximum length of a name filter. */
    static final int MAX_FILTER_BYTES = 1 << 20;
    /** Maximum length of a block, both compressed and uncompressed. */
    static final int MAX_BLOCK_BYTES = 64 << 20;
    /** Suffix of the file name of a segment. */
    static final String SUFFIX = ".whcap";

    private CaptureFile() {}

    /** Length of a block header after the marker in this version. */
    static int headerBytes(int version) {
        return version == VERSION_WITHOUT_FILTER ? HEADER_BYTES - 4 : HEADER_BYTES;
    }

    /** The header line of a segment; {@code wallMillis} and {@code nanos} are readings of the two clocks at the same moment. */
    static String headerLine(String gateway, long wallMillis, long nanos, boolean hashed) {
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

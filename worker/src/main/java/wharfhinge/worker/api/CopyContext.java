package wharfhinge.worker.api;

import java.nio.ByteBuffer;

/**
 * What a copy is given.
 *
 * @param function the name under which it was asked for
 * @param version  the package's
 * @param memory   the copy's own memory of the stated size, all zero and already resident; given back after
 *                 {@link Function#stop}, after which touching it may end the whole process
 */
public record CopyContext(String function, String version, ByteBuffer memory) {}

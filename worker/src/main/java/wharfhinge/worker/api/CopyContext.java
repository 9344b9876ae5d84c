package wharfhinge.worker.api;

import java.nio.ByteBuffer;

/**
 * The environment of a copy, passed to {@link Function#start}.
 *
 * @param function the function's name in calls
 * @param version  the version of the package
 * @param memory   the copy's own memory of the size stated in the manifest, zeroed and resident; it is released after
 *                 {@link Function#stop}, and an access after that may crash the whole process
 */
public record CopyContext(String function, String version, ByteBuffer memory) {}

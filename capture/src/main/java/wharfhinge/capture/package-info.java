/**
 * What a dispatcher was told and what it decided: written as it runs, read back, replayed into a fresh one, explained, cut
 * down. {@code docs/design/capture.md} weighs it, {@code docs/protocol-capture.md} is the form on disk.
 */
package wharfhinge.capture;

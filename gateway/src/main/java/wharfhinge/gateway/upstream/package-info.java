/** Connections to the workers: one pool per worker, each confined to one I/O event loop, so that no locks are needed. */
package wharfhinge.gateway.upstream;

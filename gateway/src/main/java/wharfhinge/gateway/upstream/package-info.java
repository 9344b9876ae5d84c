/** Connections to the workers: a pool for each worker, each on one I/O event loop, so that none of it needs a lock. */
package wharfhinge.gateway.upstream;

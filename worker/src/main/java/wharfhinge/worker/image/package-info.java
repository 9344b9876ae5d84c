/** From a function's name to a checked package: the cache on disk and the fetches. */
package wharfhinge.worker.image;

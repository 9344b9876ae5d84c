/** Provides verified packages by function name: the image cache on disk and the client of the package store. */
package wharfhinge.worker.image;

/** Function packages: manifest, zip file, digests and signatures. */
package wharfhinge.worker.pack;

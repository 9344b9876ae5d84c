/** Function packages: manifest, zip, digests, signatures. */
package wharfhinge.worker.pack;

/** A loaded copy of a function: its memory, classes and threads. */
package wharfhinge.worker.copy;

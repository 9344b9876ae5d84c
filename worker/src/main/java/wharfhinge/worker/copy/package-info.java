/** One copy of a function: its memory, its classes, its threads. */
package wharfhinge.worker.copy;

/** When a list watch is asked for again. */
package wharfhinge.decisions.watch;

/** Backoff between attempts to open an endpoint list watch again. Pure: durations come in, a pause goes out; no clock or thread. */
package wharfhinge.decisions.watch;

/** Backoff between attempts to reopen an endpoint list watch. Durations are passed in; there is no clock or thread. */
package wharfhinge.decisions.watch;

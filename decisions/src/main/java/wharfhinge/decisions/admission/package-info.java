/**
 * Admission control of a gateway by tenant: rate limits, limits of pending calls, and fair shares under overload.
 * {@link wharfhinge.decisions.admission.AdmissionController} is the entry point. Arrivals and ends of calls are passed in with their
 * times; there is no I/O, clock or thread.
 */
package wharfhinge.decisions.admission;

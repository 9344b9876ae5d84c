/**
 * Admission control of a gateway, by tenant: rate limits, pending limits and fair shares under overload.
 * {@link wharfhinge.decisions.admission.AdmissionController} is the entry. Pure: arrivals and ends come in with their times; no I/O,
 * clock or thread.
 */
package wharfhinge.decisions.admission;

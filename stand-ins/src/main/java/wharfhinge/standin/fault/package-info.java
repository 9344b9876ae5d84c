/** Faults of the operating system, injected into processes under test. */
package wharfhinge.standin.fault;

/** Injects system call failures and wall-clock steps into processes under test. */
package wharfhinge.standin.fault;

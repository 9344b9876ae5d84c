/** Simulation of fleets, clients and overload in simulated time with the real dispatchers. Equal seeds give equal runs. */
package wharfhinge.lab;

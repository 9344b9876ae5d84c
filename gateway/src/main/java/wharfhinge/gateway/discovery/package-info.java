/** Where the gateway learns of its workers: the endpoint service's stream, and the snapshot of it that outlives a restart. */
package wharfhinge.gateway.discovery;

/** Endpoint discovery: the stream of the endpoint service and the endpoint snapshot file, which is read after a restart. */
package wharfhinge.gateway.discovery;

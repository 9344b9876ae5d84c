/** The client library, independent of the transport. The entry point is {@link wharfhinge.client.WharfhingeClient}. */
package wharfhinge.client;

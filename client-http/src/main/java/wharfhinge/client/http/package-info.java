/** The HTTP/2 transport of the client library. */
package wharfhinge.client.http;

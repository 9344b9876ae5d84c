/** The client side: the listener, the protocols' handlers, and the JSON of chains. */
package wharfhinge.gateway.front;

/** The client side of the gateway: the HTTP listener, its protocol handlers, and the JSON codec of chains. */
package wharfhinge.gateway.front;

/** The package store: serves packages over HTTP with ranges and conditional requests (docs/protocol-store.md). */
package wharfhinge.worker.store;

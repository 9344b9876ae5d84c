/** The API for authors of functions. It is the only part of the worker that the classes of a function can access. */
package wharfhinge.worker.api;

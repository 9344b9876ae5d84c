/** The function that fault injection tests and measurements package for real workers; its classes use the worker API only. */
package wharfhinge.app.drill.function;

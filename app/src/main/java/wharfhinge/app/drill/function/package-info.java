/** The function that drills and measurements pack for real workers; its classes see the worker's API alone. */
package wharfhinge.app.drill.function;

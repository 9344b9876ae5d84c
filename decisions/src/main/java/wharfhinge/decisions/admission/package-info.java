/** Who is let in at a gateway's door, by tenant; pure: told calls and ends with their times. */
package wharfhinge.decisions.admission;

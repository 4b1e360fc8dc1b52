/** The results of a scale run: measured points, fitted slopes, the report file and the plots. */
package loadbalancer.scale.report;

/**
 * Open-loop load generator. Requests start at planned times regardless of earlier requests, and latencies are measured
 * from the planned start, so that queueing delay in a slow system is included.
 */
package org.baobabcart.load;

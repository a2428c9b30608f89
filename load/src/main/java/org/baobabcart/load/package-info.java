/**
 * Open-loop load: requests start at planned times whatever became of earlier ones, and latencies count from the planned
 * time, so that a slow system cannot hide its queue.
 */
package org.baobabcart.load;

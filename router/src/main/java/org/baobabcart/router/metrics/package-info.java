/** Metrics with labels, over the registry of the process. */
package org.baobabcart.router.metrics;

/** Metrics with labels on top of the metric registry of the process. */
package org.baobabcart.router.metrics;

/** Slopes of control cost against the size of the fleet and of its work. */
package org.baobabcart.bench.slope;

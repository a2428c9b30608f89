/** Finds the routers of a fleet and asks them for their state. */
package org.baobabcart.cli.fleet;

/** Discovers the routers of a fleet and queries their status. */
package org.baobabcart.cli.fleet;

/** Stand-ins for external systems, each run as a separate process, for tests and the demo only. */
package org.baobabcart.standins;

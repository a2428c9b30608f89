/** Stand-ins for outside systems, each a process of its own, for tests and the demo only. */
package org.baobabcart.standins;

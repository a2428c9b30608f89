/** What all stand-ins share: settings, the line printed when ready, the list of runs and the faults of connections. */
package org.baobabcart.standins.base;

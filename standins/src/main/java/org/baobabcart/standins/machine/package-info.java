/** Stand-in for the platform's lagging list of VMs. */
package org.baobabcart.standins.machine;

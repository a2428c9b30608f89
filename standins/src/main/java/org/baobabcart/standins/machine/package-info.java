/** Stand-in for the platform's list of VMs, with faults that delay or falsify it. */
package org.baobabcart.standins.machine;

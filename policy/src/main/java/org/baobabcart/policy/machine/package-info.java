/** What routers hold of the list of VMs, and how its readers and the others agree on it. */
package org.baobabcart.policy.machine;

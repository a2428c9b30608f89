/** Access to the platform's versioned object API and its list of VMs. */
package org.baobabcart.router.platform;

/** Stand-in for the platform's versioned object API. */
package org.baobabcart.standins.platform;

/** Access to the platform's versioned object API. */
package org.baobabcart.router.platform;

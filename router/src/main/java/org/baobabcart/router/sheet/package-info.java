/** Defines the documents of the current sheet and the roll-out state, and publishes sheets. */
package org.baobabcart.router.sheet;

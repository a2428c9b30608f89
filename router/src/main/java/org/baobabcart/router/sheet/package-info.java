/** The sheet in force, the roll-outs' state and their publishing. */
package org.baobabcart.router.sheet;

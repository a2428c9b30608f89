/** Stores bills outside the VM where they arose, so that they survive its loss. */
package org.baobabcart.router.bill;

/** Which upstream gets a piece of work, and how much it may have at once. */
package org.baobabcart.policy.upstream;

/** Open-loop load tool. */
package org.baobabcart.load;

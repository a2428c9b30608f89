/** Events of this process. */
package org.baobabcart.router.timeline;

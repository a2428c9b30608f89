/** Views of the control state for traffic threads, and feedback from them to the control thread. */
package org.baobabcart.router.view;

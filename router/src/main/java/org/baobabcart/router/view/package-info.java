/** What traffic threads see of control state, and what they hand back. */
package org.baobabcart.router.view;

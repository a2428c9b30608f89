/** The caller API. */
package org.baobabcart.router.traffic;

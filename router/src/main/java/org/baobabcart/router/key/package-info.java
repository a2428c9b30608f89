/**
 * Keys that sign session tokens. They are generated once, stored in the platform and distributed only between routers.
 */
package org.baobabcart.router.key;

/** Routes, keys and limits of the opaque request path, where the router forwards bodies that it does not interpret. */
package org.baobabcart.model.gateway;

/** Routes, keys and limits of the opaque request path, on which the router forwards bodies without interpreting them. */
package org.baobabcart.model.gateway;

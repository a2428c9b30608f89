/** The router's process: its assembly as a library object and its thin main class. */
package org.baobabcart.router;

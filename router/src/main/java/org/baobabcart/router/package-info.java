/** Assembles the components of a router and runs them as a process. */
package org.baobabcart.router;

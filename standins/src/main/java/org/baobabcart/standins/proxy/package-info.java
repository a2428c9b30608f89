/** TCP proxy that injects network faults. */
package org.baobabcart.standins.proxy;

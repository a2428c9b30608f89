/** The demo: a small fleet of real processes, requests of each kind, a killed router, and checks of what held. */
package org.baobabcart.cli.demo;

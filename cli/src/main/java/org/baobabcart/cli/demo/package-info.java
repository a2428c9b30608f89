/** The demo: a small fleet of processes, requests of each kind, a killed router, and checks of the guarantees. */
package org.baobabcart.cli.demo;
